"""Zones to whose targets nothing new is sent, as operators order in the store.

The rows that order it are in the table of the document, so whatever confirms
a read of that table confirms both. A set of zones carries the version and
the era of the read that showed it, and an older one never replaces a newer
one, whichever way it came. See docs/design/evacuation.md.
"""

import typing

from godwitglade.common import events
from godwitglade.coordination import bodies
from godwitglade.coordination import effects as shared_effects
from godwitglade.routing import messages

Effects = list[typing.Any]

#: Zones in a message between hosts, and the length of their names. A host
#: that knows of more tells none, so that others read the store themselves.
MAX_TOLD_ZONES = 64
MAX_NAME_LENGTH = 256
MAX_NUMBER = 2**53 - 1
#: Log events for one set; a store may hold any number of rows.
MAX_LOGGED = 64


class Evacuations:
    """The newest set of evacuated zones that this host knows.

    With ``is_required`` this host relies on no host that does not tell its
    set. The set was the newest at ``known_ms``, None if that is not known.
    """

    def __init__(self, is_required: bool = False) -> None:
        self.is_required = is_required
        self.zones: frozenset[str] = frozenset()
        self.known_ms: int | None = None
        self._read: tuple[int, int] | None = None
        self._since_ms: dict[str, int] = {}
        self._was_used = False
        self._distrusted: set[str] = set()

    def record(
        self, message: messages.EvacuationsRead, now_ms: int
    ) -> Effects:
        """Apply a set unless it is older; return log events."""
        read = (message.era, message.version)
        if self._read is not None and read < self._read:
            return []
        self._read = read
        if message.read_from_ms is not None:
            self.confirm(message.read_from_ms)
        started = message.zones - self.zones
        ended = self.zones - message.zones
        self.zones = message.zones
        self._was_used |= bool(message.zones)
        since_ms = {zone: self._since_ms.pop(zone) for zone in ended}
        self._since_ms |= dict.fromkeys(started, now_ms)
        age_ms = None
        if message.read_from_ms is not None:
            age_ms = now_ms - message.read_from_ms
        return [
            *(
                _log(events.Event.EVACUATION_STARTED, zone, age_ms=age_ms)
                for zone in sorted(started)[:MAX_LOGGED]
            ),
            *(
                _log(
                    events.Event.EVACUATION_ENDED,
                    zone,
                    age_ms=age_ms,
                    lasted_ms=now_ms - since_ms[zone],
                )
                for zone in sorted(ended)[:MAX_LOGGED]
            ),
        ]

    def confirm(self, read_from_ms: int) -> None:
        """Record that the set was the newest at ``read_from_ms``."""
        if self._read is not None:
            self.known_ms = max(self.known_ms or 0, read_from_ms)

    def told(self) -> dict[str, typing.Any]:
        """Return the fields of a message that tell the set, none if unknown.

        An empty set is told too: it ends the evacuations that others know.
        """
        if self._read is None or not _is_set(tuple(self.zones)):
            return {}
        era, version = self._read
        return {
            'evacuated': tuple(sorted(self.zones)),
            'evacuated_version': version,
            'evacuated_era': era,
        }

    def attached(self) -> dict[str, typing.Any]:
        """Return these fields for exchanges; none where no zone evacuates."""
        return self.told() if self.is_required or self._was_used else {}

    def receive(self, exchange: bodies.Exchange) -> Effects:
        """Return the delivery of a newer set that a host attached.

        What another host says of an era that this one does not know is not
        used, since nothing that this host reads itself would replace it.
        """
        if exchange.evacuated is None or self._read is None:
            return []
        told = decode(exchange)
        if told is None:
            return self.check(exchange.sender.host.name, exchange)
        era, version = self._read
        if told.era != era or told.version <= version:
            return []
        return [shared_effects.Deliver(told)]

    def check(self, name: str, body: typing.Any) -> Effects:
        """Log once that a host tells a set that cannot be read."""
        if name in self._distrusted or not is_malformed(body):
            return []
        self._distrusted.add(name)
        event = events.Event.EVACUATIONS_INVALID
        return [shared_effects.LogEvent(event, {'peer': name})]


def decode(
    body: typing.Any, read_from_ms: int | None = None
) -> messages.EvacuationsRead | None:
    """Return the set in a message of another host, None if it has none."""
    version, era = body.evacuated_version, body.evacuated_era
    is_told = _is_set(body.evacuated) and _is_count(version) and _is_count(era)
    if not is_told:
        return None
    zones = frozenset(body.evacuated)
    return messages.EvacuationsRead(zones, version, era, read_from_ms)


def is_malformed(body: typing.Any) -> bool:
    """Return whether a host told a set that cannot be read."""
    return body.evacuated is not None and decode(body) is None


def _is_set(value: typing.Any) -> bool:
    if not isinstance(value, (list, tuple)) or len(value) > MAX_TOLD_ZONES:
        return False
    return all(
        isinstance(zone, str) and len(zone) <= MAX_NAME_LENGTH
        for zone in value
    )


def _is_count(value: typing.Any) -> bool:
    return type(value) is int and 0 <= value <= MAX_NUMBER


def _log(
    event: events.Event, zone: str, **fields: typing.Any
) -> shared_effects.LogEvent:
    named = {'zone': zone[:MAX_NAME_LENGTH]}
    return shared_effects.LogEvent(event, named | fields)
