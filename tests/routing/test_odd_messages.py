"""Values out of range in messages of other hosts do not stop a host."""

import enum
import json
import random
import types
import typing

import attrs
import pytest

from bench.standins import edge_document
from godwitglade.common import errors
from godwitglade.coordination import effects
from godwitglade.coordination import hosts
from godwitglade.coordination import members
from godwitglade.coordination import messages as shared_messages
from godwitglade.edge import decoding
from godwitglade.peers import codec
from godwitglade.routing import bodies
from godwitglade.routing import host
from godwitglade.routing import messages
from godwitglade.routing import targets

SELF_ID = hosts.HostId('h1', 'z1', 1_000)
CODEC = codec.Codec(host.kinds())
TOKENS = ['members:exchange:1', 'work:waits:1', 'facts:repair:x']


def nested(depth):
    value = []
    for _ in range(depth):
        value = [value]
    return value


SCALARS = {
    int: [-1, 0, 1, 10**5, 2**53 - 1, -(2**63), 2**64 - 1],
    float: [0.0, -1.0, 1e-308, 1e308, -1e308, 'nan', 'inf'],
    str: ['', 'x' * 6_000, '\r\n', '\u20ac', 'app', 'encode', 'h1', 'h2'],
    bool: [False, True],
    typing.Any: [None, 1, 2**64 - 1, 'x', [[1]], nested(260), nested(400)],
}


def odd_value(kind, rng):
    """Return plain data of a type, with values that are out of range."""
    if kind in SCALARS:
        return rng.choice(SCALARS[kind])
    if attrs.has(kind):
        attrs.resolve_types(kind)
        values = {f.name: odd_value(f.type, rng) for f in attrs.fields(kind)}
        is_list = kind in codec.LIST_CLASSES
        return list(values.values()) if is_list else values
    if isinstance(kind, type) and issubclass(kind, enum.Enum):
        return rng.choice(list(kind)).value
    origin, args = typing.get_origin(kind), typing.get_args(kind)
    if origin is types.UnionType:
        chosen = rng.choice(args)
        return None if chosen is types.NoneType else odd_value(chosen, rng)
    sizes = range(rng.choice([0, 1, 3]))
    if origin is dict:
        return {odd_value(str, rng): odd_value(args[1], rng) for _ in sizes}
    if args[-1] is Ellipsis:
        return [odd_value(args[0], rng) for _ in sizes]
    return [odd_value(arg, rng) for arg in args]


def odd_bodies(rng, count):
    """Yield messages of all kinds that the codec accepts."""
    kinds = [
        (kind, class_)
        for kind, class_ in host.kinds().items()
        if class_ is not bodies.StreamAnswer
    ]
    for _ in range(count):
        kind, class_ = rng.choice(kinds)
        plain = {'kind': kind, 'body': odd_value(class_, rng)}
        try:
            yield CODEC.decode(json.dumps(plain).encode()).body
        except errors.MalformedError:
            continue


def make_host():
    host_ = host.Host(
        host.make_components(
            SELF_ID, '127.0.0.1:1', random.Random(1), host.Settings()
        )
    )
    document = decoding.decode_document(edge_document.document())
    listed = tuple(
        targets.TargetEntry(pool, pool, 'z1', '127.0.0.1:9', 4)
        for pool in ('app', 'engine', 'encode')
    )
    entries = (members.HostEntry('h2', 'z1', '127.0.0.1:2'),)
    for message in (
        messages.DocumentRead(document, 0),
        messages.TargetsRead(listed, 5, era=1),
        messages.HostsRead(entries),
    ):
        host_.handle(message, 0)
    return host_


@pytest.mark.parametrize('seed', range(20))
def test_messages_with_odd_values_are_handled(seed):
    rng = random.Random(seed)
    host_ = make_host()
    sender = hosts.HostId('h2', 'z1', 1_000)
    for number, body in enumerate(odd_bodies(rng, 200)):
        token = rng.choice(TOKENS)
        for message in (
            shared_messages.PeerMessage(sender, body, 'reply'),
            shared_messages.PeerReply(token, body),
            shared_messages.TimerFired('members:tick'),
            shared_messages.TimerFired('facts:tick'),
            shared_messages.TimerFired('work:tick'),
            shared_messages.TimerFired(host.MAINTENANCE_TOKEN),
        ):
            for effect in host_.handle(message, 50 * number):
                if isinstance(effect, (effects.SendPeer, effects.ReplyPeer)):
                    # What is sent must be accepted elsewhere.
                    sent = CODEC.encode(codec.Envelope(effect.body, SELF_ID))
                    CODEC.decode(sent)
