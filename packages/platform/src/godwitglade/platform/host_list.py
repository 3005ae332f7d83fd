"""Client of the platform's list of live and leaving hosts and targets."""

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
    """A host of this program; ``address`` is its listener for peers."""

    name: str
    zone: str
    address: str
    state: targets.TargetState


@attrs.frozen
class HostList:
    """The list as of one read; it may lag behind the actual state.

    ``skipped`` counts items that could not be parsed.
    """

    targets: tuple[targets.Target, ...]
    entry_hosts: tuple[EntryHost, ...]
    skipped: int = 0


@attrs.frozen
class Unchanged:
    """The list is the same as in the last read with the same query."""


@attrs.frozen
class _LastRead:
    etag: str
    digest: int


class HostListClient:
    """Reads the list with blocking calls.

    Requests are conditional on the last response to the same query. For
    services without ETags a digest of the content is compared, so that an
    unchanged list is not parsed again.
    """

    def __init__(self, list_service: service.Service) -> None:
        self._service = list_service
        self._last_reads: dict[effects.ReadHostList, _LastRead] = {}

    def read(
        self, query: effects.ReadHostList
    ) -> HostList | Unchanged | rows.Unavailable:
        """Return the list, or Unavailable unless it arrived complete."""
        last_read = self._last_reads.get(query, _LastRead('', 0))
        exchange = self._service.exchange(
            'GET', _path_of(query), HOST_LIST_TIMEOUT_MS, etag=last_read.etag
        )
        if isinstance(exchange, service.NotSent):
            return rows.Unavailable(exchange.retry_after_ms)
        if not isinstance(exchange, service.Answer):
            return rows.Unavailable()
        if exchange.status == 304 and last_read.etag:
            return Unchanged()
        if exchange.status != 200:
            return rows.Unavailable()
        return self._parse_changed(query, last_read, exchange)

    def _parse_changed(
        self,
        query: effects.ReadHostList,
        last_read: _LastRead,
        answer: service.Answer,
    ) -> HostList | Unchanged | rows.Unavailable:
        digest = xxhash.xxh3_64_intdigest(answer.content)
        if digest == last_read.digest:
            return Unchanged()
        try:
            host_list = parse_host_list(answer.content)
        except errors.MalformedError:
            return rows.Unavailable()
        self._last_reads[query] = _LastRead(answer.etag, digest)
        return host_list


def _path_of(query: effects.ReadHostList) -> str:
    fields = {'zone': query.zone, 'role': query.role}
    parameters = {name: value for name, value in fields.items() if value}
    if not parameters:
        return '/v1/hosts'
    return f'/v1/hosts?{urllib.parse.urlencode(parameters)}'


def parse_host_list(content: bytes) -> HostList:
    """Return the list in ``content``, skipping items of unknown form.

    One item that cannot be parsed must not hide all others. Raises
    MalformedError when ``content`` does not hold a list.
    """
    plain = codec.from_json(content, dict[str, typing.Any])
    items = codec.from_plain(plain.get('hosts'), list[typing.Any])
    parsed = [_parse_item(item) for item in items]
    found_targets = tuple(p for p in parsed if isinstance(p, targets.Target))
    return HostList(
        targets=found_targets,
        entry_hosts=tuple(p for p in parsed if isinstance(p, EntryHost)),
        skipped=sum(p is None for p in parsed),
    )


def _parse_item(item: typing.Any) -> targets.Target | EntryHost | None:
    kinds = {ROLE_TARGET: targets.Target, ROLE_ENTRY: EntryHost}
    role = item.get('role') if isinstance(item, dict) else None
    kind = kinds.get(role) if isinstance(role, str) else None
    if kind is None:
        return None
    try:
        return codec.from_plain(item, kind)
    except errors.MalformedError:
        return None
