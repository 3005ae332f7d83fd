"""Client of the platform's list of live and leaving hosts."""

import typing
import urllib.parse

import attrs
import xxhash

from godwitglade.common import codec
from godwitglade.common import errors
from godwitglade.coordination import rows
from godwitglade.decisions import effects
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

    targets: tuple[targets.Target, ...]
    entry_hosts: tuple[EntryHost, ...]
    skipped: int = 0


@attrs.frozen
class Unchanged:
    """The list is what the last reading with the same query gave."""


@attrs.frozen
class _Seen:
    etag: str
    digest: int


class HostListClient:
    """Reads the list; blocks.

    Each query is conditional on what it gave last. A service that knows no
    ETag is compared by a digest, which saves the parsing.
    """

    def __init__(self, list_service: service.Service) -> None:
        self._service = list_service
        self._seen: dict[effects.ReadHostList, _Seen] = {}

    def read(
        self, query: effects.ReadHostList
    ) -> HostList | Unchanged | rows.Unavailable:
        """Return the list, or Unavailable for anything but a whole one."""
        seen = self._seen.get(query, _Seen('', 0))
        exchange = self._service.exchange(
            'GET', _path_of(query), HOST_LIST_TIMEOUT_MS, etag=seen.etag
        )
        if isinstance(exchange, service.NotSent):
            return rows.Unavailable(exchange.retry_after_ms)
        if not isinstance(exchange, service.Answer):
            return rows.Unavailable()
        if exchange.status == 304 and seen.etag:
            return Unchanged()
        if exchange.status != 200:
            return rows.Unavailable()
        return self._take(query, seen, exchange)

    def _take(
        self,
        query: effects.ReadHostList,
        seen: _Seen,
        answer: service.Answer,
    ) -> HostList | Unchanged | rows.Unavailable:
        digest = xxhash.xxh3_64_intdigest(answer.content)
        if digest == seen.digest:
            return Unchanged()
        try:
            found = parse_host_list(answer.content)
        except errors.MalformedError:
            return rows.Unavailable()
        self._seen[query] = _Seen(answer.etag, digest)
        return found


def _path_of(query: effects.ReadHostList) -> str:
    fields = {'zone': query.zone, 'role': query.role}
    given = {name: value for name, value in fields.items() if value}
    if not given:
        return '/v1/hosts'
    return f'/v1/hosts?{urllib.parse.urlencode(given)}'


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
        targets=found,
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
