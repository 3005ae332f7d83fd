"""Splits server-sent event streams at event boundaries."""

import re

import attrs

_EVENT_END = re.compile(rb'\r?\n\r?\n')
_EVENT_ID = re.compile(rb'^id: ?([^\r\n]*)', re.MULTILINE)


#: Limit for the length of one event.
MAX_EVENT_BYTES = 256 * 1024


class EventTooLongError(ValueError):
    """An event of a stream does not end."""


@attrs.define
class EventReader:
    """Returns only complete events of a byte stream.

    ``last_id`` is the last id in the complete events.
    """

    last_id: str = ''
    _rest: bytes = b''

    def feed(self, chunk: bytes) -> bytes:
        """Return the bytes up to the end of the last complete event.

        Raises EventTooLongError if an event exceeds MAX_EVENT_BYTES.
        """
        buffered = self._rest + chunk
        ends = [match.end() for match in _EVENT_END.finditer(buffered)]
        if not ends:
            self._rest = buffered
            if len(buffered) > MAX_EVENT_BYTES:
                raise EventTooLongError()
            return b''
        complete, self._rest = buffered[: ends[-1]], buffered[ends[-1] :]
        ids = _EVENT_ID.findall(complete)
        if ids:
            self.last_id = ids[-1].decode('latin-1').strip()
        return complete

    def restart(self) -> None:
        """Drop a partial event, before another stream continues."""
        self._rest = b''

    @property
    def is_at_event_boundary(self) -> bool:
        """Return whether the stream has no partial event at its end."""
        return not self._rest
