"""Parses replies and stream events of targets into typed messages."""

import typing

from godwitglade.common import codec
from godwitglade.common import errors
from godwitglade.decisions import messages
from godwitglade.decisions import targets

#: Limit for the length of one line of an event stream.
MAX_FRAME_BYTES = 1024 * 1024

_DATA = b'data:'

StreamMessage = messages.StreamPiece | messages.StreamEnded


def parse_reply(content: bytes) -> messages.StageReplied:
    """Return a stage's complete reply; raises MalformedError."""
    plain = parse_object(content)
    if 'output' not in plain:
        raise errors.MalformedError('output', 'is required')
    return codec.from_plain(_with_valid_load(plain), messages.StageReplied)


def parse_frame(content: bytes) -> StreamMessage:
    """Return the message of a stream event; raises MalformedError."""
    plain = parse_object(content)
    if plain.get('done') is True:
        return codec.from_plain(_with_valid_load(plain), messages.StreamEnded)
    return codec.from_plain(plain, messages.StreamPiece)


def parse_load(plain: typing.Any) -> targets.Load | None:
    """Return the load, or None if it is absent or malformed.

    A malformed load must not invalidate the result that it came with.
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
    """Yield the data of each event as soon as it is complete.

    Raises MalformedError for an event longer than MAX_FRAME_BYTES. An
    incomplete event at the end of the stream is dropped.
    """
    rest = b''
    for chunk in chunks:
        *lines, rest = (rest + chunk).split(b'\n')
        if len(rest) > MAX_FRAME_BYTES:
            raise errors.MalformedError('event', 'exceeds the maximum length')
        yield from (
            line[len(_DATA) :].strip()
            for line in lines
            if line.startswith(_DATA)
        )


def _with_valid_load(plain: dict[str, typing.Any]) -> dict[str, typing.Any]:
    return {**plain, 'load': _valid_load_or_none(plain.get('load'))}


def _valid_load_or_none(plain: typing.Any) -> typing.Any:
    return None if parse_load(plain) is None else plain
