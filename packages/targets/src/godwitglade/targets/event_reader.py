"""Splits server-sent event streams at event boundaries."""

import re

import attrs

_EVENT_END = re.compile(rb'\r?\n\r?\n')
#: Longest match of the above.
MAX_END_BYTES = 4
_EVENT_ID = re.compile(rb'^id: ?([^\r\n]*)', re.MULTILINE)
_DATA = re.compile(rb'^data', re.MULTILINE)


#: Limit for the length of one event.
MAX_EVENT_BYTES = 256 * 1024


class EventError(ValueError):
    """A stream cannot be relayed any further."""


class EventTooLongError(EventError):
    """An event of a stream does not end."""

    def __init__(self) -> None:
        super().__init__('an event does not end')


class EventRepeatedError(EventError):
    """A stream that was to go on starts with an earlier event."""

    def __init__(self, event_id: str) -> None:
        super().__init__(f'event {event_id} comes once more')


@attrs.define
class EventReader:
    """Returns only complete events of a byte stream.

    ``last_id`` is the last id in the complete events. The stream
    ``can_go_on`` elsewhere unless events without an id followed it.
    """

    last_id: str = ''
    can_go_on: bool = True
    _rest: bytearray = attrs.Factory(bytearray)
    _is_first: bool = False

    def feed(self, chunk: bytes) -> bytes:
        """Return the bytes up to the end of the last complete event.

        Raises EventTooLongError if an event exceeds MAX_EVENT_BYTES, and
        EventRepeatedError if a stream goes on with an event before its last.
        """
        # An event may end anywhere in the chunk, but not before it. To search
        # or copy the rest for each byte of a long event would take minutes.
        start = max(0, len(self._rest) - MAX_END_BYTES + 1)
        self._rest += chunk
        ends = [m.end() for m in _EVENT_END.finditer(self._rest, start)]
        if not ends:
            if len(self._rest) > MAX_EVENT_BYTES:
                raise EventTooLongError()
            return b''
        complete = bytes(self._rest[: ends[-1]])
        del self._rest[: ends[-1]]
        ids = list(_EVENT_ID.finditer(complete))
        without_id = complete
        if ids:
            self._check_first(_decode_id(ids[0]))
            self.last_id = _decode_id(ids[-1])
            self.can_go_on = True
            last_end = _EVENT_END.search(complete, ids[-1].end())
            without_id = complete[last_end.end() :]
        if _DATA.search(without_id):
            self.can_go_on = False
        return complete

    def restart(self) -> None:
        """Drop a partial event, before another stream continues."""
        self._rest.clear()
        self._is_first = bool(self.last_id)

    def _check_first(self, event_id: str) -> None:
        is_first, self._is_first = self._is_first, False
        if is_first and not _is_later(event_id, self.last_id):
            raise EventRepeatedError(event_id)

    @property
    def is_at_event_boundary(self) -> bool:
        """Return whether the stream has no partial event at its end."""
        return not self._rest


def _decode_id(match: re.Match[bytes]) -> str:
    return match[1].decode('latin-1').strip()


def _is_later(event_id: str, last_id: str) -> bool:
    """Return whether an id may follow another one.

    Numbers of any length are compared as text, which has no limit.
    """
    if not (event_id.isdecimal() and last_id.isdecimal()):
        return event_id != last_id
    digits, last_digits = event_id.lstrip('0'), last_id.lstrip('0')
    return (len(digits), digits) > (len(last_digits), last_digits)
