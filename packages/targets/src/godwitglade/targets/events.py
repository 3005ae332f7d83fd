"""Server-sent events: whole ones only, with their ids."""

import re

import attrs

_END = re.compile(rb'\r?\n\r?\n')
_ID = re.compile(rb'^id: ?([^\r\n]*)', re.MULTILINE)


@attrs.define
class EventReader:
    """Cuts a byte stream into whole events.

    ``last_id`` is the id of the last whole event.
    """

    last_id: str = ''
    _rest: bytes = b''

    def feed(self, chunk: bytes) -> bytes:
        """Return the bytes up to the end of the last whole event."""
        held = self._rest + chunk
        ends = [match.end() for match in _END.finditer(held)]
        if not ends:
            self._rest = held
            return b''
        whole, self._rest = held[: ends[-1]], held[ends[-1] :]
        found = _ID.findall(whole)
        if found:
            self.last_id = found[-1].decode('latin-1').strip()
        return whole

    def restart(self) -> None:
        """Drop an event that was cut: another stream takes over."""
        self._rest = b''

    @property
    def is_clean(self) -> bool:
        """Tell whether no event is cut in the middle."""
        return not self._rest
