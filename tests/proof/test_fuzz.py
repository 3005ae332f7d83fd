"""Input of any content is accepted or rejected with a typed error."""

import typing

import hypothesis
from hypothesis import strategies
import orjson
import pytest

from godwitglade.callers import request_parsing
from godwitglade.common import errors
from godwitglade.coordination import bodies
from godwitglade.coordination import claim_messages
from godwitglade.coordination import hosts
from godwitglade.coordination import messages
from godwitglade.coordination import rows
from godwitglade.daemon import peer_codec
from godwitglade.operators import parsing
from godwitglade.peers import codec as peer_codecs
from proof import simulation as simulation_module

SETTINGS = hypothesis.settings(
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=60,
    suppress_health_check=list(hypothesis.HealthCheck),
)
KINDS = {
    **bodies.KINDS,
    'claim_question': claim_messages.ClaimQuestion,
    'claim_answer': claim_messages.ClaimAnswer,
}
CODEC = peer_codec.make_codec()

strategies.register_type_strategy(
    int,
    strategies.integers(-peer_codecs.MAX_NUMBER, peer_codecs.MAX_NUMBER),
)

json_scalars = (
    strategies.none()
    | strategies.booleans()
    | strategies.integers(-(2**63), 2**63 - 1)
    | strategies.floats(allow_nan=False, allow_infinity=False)
    | strategies.text(max_size=12)
)
json_values = strategies.recursive(
    json_scalars,
    lambda inner: strategies.lists(inner, max_size=4)
    | strategies.dictionaries(strategies.text(max_size=8), inner, max_size=4),
    max_leaves=12,
)
json_dicts = strategies.none() | strategies.dictionaries(
    strategies.text(max_size=8), json_values, max_size=4
)


@pytest.fixture(scope='module')
def host():
    simulation = simulation_module.Simulation('onboarding')
    simulation.run_until(3_000)
    return simulation.hosts['host-1'].decider


def decode_or_none(raw):
    try:
        return CODEC.decode(raw)
    except errors.CodedError:
        return None


@SETTINGS
@hypothesis.given(
    kind=strategies.sampled_from(sorted(KINDS)), body=json_values
)
def test_peer_message_of_any_json(host, kind, body):
    envelope_fields = {'kind': kind, 'body': body, 'sender': ['h', 'z', 1]}
    envelope = decode_or_none(
        orjson.dumps(envelope_fields, option=orjson.OPT_NON_STR_KEYS)
    )
    if envelope is not None:
        deliver(host, envelope.body)


@SETTINGS
@hypothesis.given(raw=strategies.binary(max_size=64))
def test_peer_message_of_any_bytes(raw):
    decode_or_none(raw)


@pytest.mark.parametrize('kind', sorted(KINDS))
def test_peer_message_of_its_own_type(host, kind):
    @SETTINGS
    @hypothesis.given(body=body_strategy(KINDS[kind]))
    def check_body(body):
        assert CODEC.decode(CODEC.encode(peer_envelope(body))) is not None
        deliver(host, body)

    check_body()


@pytest.mark.parametrize(
    'number', [2**53, -(2**53), 2**63 - 1, -(2**63), 2**64 - 1]
)
@pytest.mark.parametrize(
    'make',
    [
        lambda number: bodies.ChangesRequest(sequence=number),
        lambda number: bodies.ChangesReply(sequence=number),
        lambda number: bodies.DocumentsReply(sequence=number),
    ],
    ids=['asked', 'given', 'documents'],
)
def test_peer_message_with_a_number_out_of_range_is_refused(make, number):
    raw = CODEC.encode(peer_envelope(make(number)))
    with pytest.raises(errors.MalformedError):
        CODEC.decode(raw)


def body_strategy(body_class):
    """Return a strategy for instances, with JSON in fields of any type."""
    with_json = {
        name: json_dicts if 'dict' in str(kind) else json_values
        for name, kind in typing.get_type_hints(body_class).items()
        if kind is typing.Any or 'Any' in str(kind)
    }
    return strategies.builds(body_class, **with_json)


def peer_envelope(body):
    return peer_codecs.Envelope(body, hosts.HostId('h', 'z', 1))


def deliver(host, body):
    """Deliver a body as a message and as a reply to each component."""
    sender = hosts.HostId('h', 'z', 1)
    host.handle(messages.PeerMessage(sender, body, 'r'), 3_000)
    for component in ('members', 'documents', 'facts', 'claims', 'orders'):
        host.handle(messages.PeerReply(f'{component}:1', body), 3_000)


@SETTINGS
@hypothesis.given(
    headers=strategies.dictionaries(
        strategies.sampled_from(
            [
                'X-Workspace',
                'X-Deadline-Ms',
                'X-Priority',
                'Idempotency-Key',
                'Accept',
            ]
        ),
        strategies.text(max_size=20) | strategies.just('5'),
    ),
    body=strategies.binary(max_size=30),
)
def test_caller_request_of_any_headers_and_body(headers, body):
    try:
        parsed = request_parsing.parse_headers(headers)
        message = request_parsing.make_request_message(
            'r', 'p', parsed, body, 5
        )
    except errors.CodedError as error:
        assert error.http_status == 400
    else:
        assert message.deadline_ms > 5


@SETTINGS
@hypothesis.given(text=strategies.text(max_size=200))
def test_document_of_any_text(text):
    with pytest.raises(errors.CodedError):
        parsing.parse_document(text)


@SETTINGS
@hypothesis.given(
    value=strategies.dictionaries(
        strategies.sampled_from(
            ['state', 'owner', 'nonce', 'digest', 'outcome', 'sequence']
        ),
        json_values,
    )
)
def test_rows_of_any_content(host, value):
    key = rows.RowKey('claims', 'k')
    result = rows.Rows((rows.Row(key, 3, value),))
    for token in ('claims:sweep', 'documents:head', 'changes:1'):
        host.handle(messages.ReadSettled(token, result), 3_000)
