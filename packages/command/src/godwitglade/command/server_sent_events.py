"""Parses the server-sent events of a streamed response."""

import codecs
import typing

import attrs

from godwitglade.common import codec

CONTENT_TYPE = 'text/event-stream'


@attrs.frozen
class Piece:
    """A piece of the output; ``offset`` counts the characters before it."""

    offset: int
    text: str


@attrs.frozen
class StreamEvent:
    """An event: its type and its parsed JSON data."""

    kind: str
    data: typing.Any


def read_events(
    chunks: typing.Iterable[bytes],
) -> typing.Iterator[StreamEvent]:
    """Yield the events in ``chunks`` once they are complete.

    An incomplete event at the end is ignored. Raises MalformedError if the
    data of an event is not JSON.
    """
    buffered = ''
    decode = codecs.getincrementaldecoder('utf-8')('replace').decode
    for chunk in chunks:
        buffered += decode(chunk).replace('\r\n', '\n')
        *blocks, buffered = buffered.split('\n\n')
        yield from map(_parse, blocks)


def _parse(block: str) -> StreamEvent:
    pairs = (line.partition(':') for line in block.split('\n'))
    fields = {name: value.removeprefix(' ') for name, _, value in pairs}
    data = codec.parse_json(fields.get('data', 'null').encode())
    return StreamEvent(fields.get('event', 'message'), data)
