"""Parses what targets send into typed messages."""

import typing

from godwitglade.common import codec
from godwitglade.common import errors
from godwitglade.decisions import messages
from godwitglade.decisions import targets

#: Longest line of a stream that is kept in memory.
MAX_FRAME_BYTES = 1024 * 1024

_DATA = b'data:'

StreamMessage = messages.StreamPiece | messages.StreamEnded


def parse_reply(content: bytes) -> messages.StageReplied:
    """Return a stage's whole reply; raises MalformedError."""
    plain = parse_object(content)
    if 'output' not in plain:
        raise errors.MalformedError('output', 'is required')
    return codec.from_plain(_with_load(plain), messages.StageReplied)


def parse_frame(content: bytes) -> StreamMessage:
    """Return the message of one stream event; raises MalformedError."""
    plain = parse_object(content)
    if plain.get('done') is True:
        return codec.from_plain(_with_load(plain), messages.StreamEnded)
    return codec.from_plain(plain, messages.StreamPiece)


def parse_load(plain: typing.Any) -> targets.Load | None:
    """Return a load, None when absent or malformed.

    A bad load must not cost the result that it came with.
    """
    try:
        return codec.from_plain(plain, targets.Load)
    except errors.MalformedError:
        return None


def parse_object(content: bytes) -> dict[str, typing.Any]:
    """Return the JSON object in ``content``; raises MalformedError."""
    plain = codec.parse_json(content)
    if not isinstance(plain, dict):
        raise errors.MalformedError('$', 'expected an object')
    return plain


def split_events(
    chunks: typing.Iterable[bytes],
) -> typing.Iterator[bytes]:
    """Yield the data of each event of a stream as soon as it is whole.

    Raises MalformedError for an event longer than MAX_FRAME_BYTES. Bytes
    of an event that does not end are dropped.
    """
    rest = b''
    for chunk in chunks:
        *lines, rest = (rest + chunk).split(b'\n')
        if len(rest) > MAX_FRAME_BYTES:
            raise errors.MalformedError('event', 'is too long')
        yield from (
            line[len(_DATA) :].strip()
            for line in lines
            if line.startswith(_DATA)
        )


def _with_load(plain: dict[str, typing.Any]) -> dict[str, typing.Any]:
    return {**plain, 'load': _plain_load(plain.get('load'))}


def _plain_load(plain: typing.Any) -> typing.Any:
    return None if parse_load(plain) is None else plain
