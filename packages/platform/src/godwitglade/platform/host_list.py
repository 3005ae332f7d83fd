"""Client of the platform's list of live and leaving hosts."""

import typing

import attrs

from godwitglade.common import codec
from godwitglade.common import errors
from godwitglade.coordination import rows
from godwitglade.decisions import messages
from godwitglade.decisions import targets
from godwitglade.platform import service

HOST_LIST_TIMEOUT_MS = 2_000

ROLE_ENTRY = 'entry'
ROLE_TARGET = 'target'


@attrs.frozen
class EntryHost:
    """A host of this system; ``address`` is its peers' listener."""

    name: str
    zone: str
    address: str
    state: targets.TargetState


@attrs.frozen
class HostList:
    """One reading of the list; it lags behind the truth.

    ``skipped`` counts entries that could not be understood.
    """

    listed: messages.TargetsListed
    entry_hosts: tuple[EntryHost, ...]
    skipped: int = 0


class HostListClient:
    """Reads the list; blocks."""

    def __init__(self, list_service: service.Service) -> None:
        self._service = list_service

    def read(self) -> HostList | rows.Unavailable:
        """Return the list, or Unavailable for anything but a whole one."""
        exchange = self._service.exchange(
            'GET', '/v1/hosts', HOST_LIST_TIMEOUT_MS
        )
        if isinstance(exchange, service.NotSent):
            return rows.Unavailable(exchange.retry_after_ms)
        if not isinstance(exchange, service.Answer):
            return rows.Unavailable()
        if exchange.status != 200:
            return rows.Unavailable()
        try:
            return parse_host_list(exchange.content)
        except errors.MalformedError:
            return rows.Unavailable()


def parse_host_list(content: bytes) -> HostList:
    """Return the list in ``content``, leaving out unknown entries.

    One entry that cannot be understood must not hide all others. Raises
    MalformedError when ``content`` is no list at all.
    """
    plain = codec.from_json(content, dict[str, typing.Any])
    entries = codec.from_plain(plain.get('hosts'), list[typing.Any])
    parsed = [_parse_entry(entry) for entry in entries]
    found = tuple(p for p in parsed if isinstance(p, targets.Target))
    return HostList(
        listed=messages.TargetsListed(found),
        entry_hosts=tuple(p for p in parsed if isinstance(p, EntryHost)),
        skipped=sum(p is None for p in parsed),
    )


def _parse_entry(entry: typing.Any) -> targets.Target | EntryHost | None:
    kinds = {ROLE_TARGET: targets.Target, ROLE_ENTRY: EntryHost}
    role = entry.get('role') if isinstance(entry, dict) else None
    kind = kinds.get(role) if isinstance(role, str) else None
    if kind is None:
        return None
    try:
        return codec.from_plain(entry, kind)
    except errors.MalformedError:
        return None
