"""What targets say of themselves, by when the loop hears of it."""

import types

import attrs
import pytest

from bench.standins import edge_platform
from godwitglade.common import clock as clocks
from godwitglade.edge import headers
from godwitglade.routing import effects
from godwitglade.routing import messages
from godwitglade.routing import targets
from godwitglade.targets import forwarding
from tests.routing import builders
from tests.targets import test_ends_of_bodies as scripted

FIELDS = scripted.FIELDS
LEAVING = {'Server-Leaving': '1'}
LIMIT = {'Server-Limit': '5'}
OTHER = {'X-Attempt-Id': 'other'}
PAUSE = {'X-Not-Executed': '1', 'Retry-After': '2'}


class Caller(scripted.Caller):
    """Notes what the loop has heard when the response starts."""

    def __init__(self, posted):
        super().__init__()
        self.posted = posted
        self.heard = None

    def start_response(self, status, headers_, size):
        self.heard = list(self.posted)
        super().start_response(status, headers_, size)


def forward(raw):
    """Return what the loop heard before the caller, and in all."""
    posted = []
    forwarder = forwarding.Forwarder(
        clocks.Clock(), headers.HeaderCodec(), posted.append
    )
    with scripted.Target([[raw]]).running() as target:
        request = forwarding.CallerRequest('POST', '/x', {}, b'', 'a1')
        caller = Caller(posted)
        context = forwarding.ForwardingContext(request, caller)
        listed = attrs.evolve(builders.listed('t'), address=target.address)
        forwarder.forward(context, effects.Forward('r1', 1, listed, 3_000))
    return types.SimpleNamespace(before=caller.heard, posted=posted)


@pytest.mark.parametrize(
    ('said', 'notice', 'limit'),
    [
        (LEAVING, targets.Notice(is_leaving=True), None),
        (LIMIT, targets.Notice(), targets.NamedLimit(5_000)),
    ],
)
def test_loop_hears_a_target_before_its_caller_can_leave(said, notice, limit):
    heard = forward(edge_platform.response(200, FIELDS | said, b'whole'))
    (spoken,) = heard.before
    assert (spoken.notice, spoken.limit) == (notice, limit)


@pytest.mark.parametrize(
    ('status', 'fields', 'is_heard'),
    [
        (200, FIELDS, False),
        (200, FIELDS | LEAVING | OTHER, False),
        (200, LEAVING, False),
        (500, FIELDS | LEAVING, True),
        (503, FIELDS | PAUSE, True),
        (421, FIELDS | LEAVING, False),
    ],
)
def test_only_responses_to_the_request_speak_for_the_target(
    status, fields, is_heard
):
    heard = forward(edge_platform.response(status, fields, b''))
    kinds = [type(message) for message in heard.posted]
    assert (messages.NoticeReceived in kinds) is is_heard
