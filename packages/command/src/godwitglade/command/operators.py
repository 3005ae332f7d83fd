"""Calls of the operators' HTTP interface, typed, with retries."""

import typing
import urllib.parse

import attrs

from godwitglade.command import environment
from godwitglade.command import errors
from godwitglade.command import http_client
from godwitglade.command import retries
from godwitglade.common import codec
from godwitglade.common import errors as common_errors
from godwitglade.coordination import audit
from godwitglade.operators import gateway

T = typing.TypeVar('T')


@attrs.frozen
class Documents:
    """Body of the list of documents."""

    documents: tuple[gateway.DocumentView, ...]


@attrs.frozen
class Records:
    """Body of a page of the audit trail."""

    records: tuple[audit.AuditRecord, ...]


@attrs.frozen
class Quarantine:
    """Body of the list of requests in quarantine."""

    quarantine: tuple[gateway.QuarantineView, ...]


@attrs.frozen
class ChangeState:
    """Body about a change; the last three are set when it is applied.

    ``state`` is ``applied``, ``absent``, ``unknown`` or ``not_applied``.
    """

    state: str
    change_id: str
    pipeline: str = ''
    version: int = 0
    sequence: int = 0

    @property
    def is_applied(self) -> bool:
        """Tell whether the change took effect."""
        return self.state == 'applied'


@attrs.frozen
class Cleared:
    """Body for a quarantine that was cleared."""

    state: str
    fingerprint: str


class Operators:
    """The operators' interface at ``url`` for the owner of ``token``.

    Each call raises ServerError, NotSentError or AnswerLostError. Calls
    that change nothing are retried.
    """

    def __init__(
        self, env: environment.Environment, url: str, token: str
    ) -> None:
        self._env = env
        self._url = url
        self._headers = {
            'Authorization': f'Bearer {token}',
            'Content-Type': 'application/json',
        }

    def documents(self) -> Documents:
        """Return the documents in force that the owner may read."""
        return self._read(Documents, 'documents')

    def document(self, pipeline: str) -> gateway.DocumentView:
        """Return the document in force of ``pipeline``."""
        return self._read(gateway.DocumentView, 'documents', pipeline)

    def status(self) -> gateway.StatusView:
        """Return what is in force per host."""
        return self._read(gateway.StatusView, 'status')

    def poll_status(self, at_least: int) -> gateway.StatusView:
        """Return what is in force per host, asking once.

        Hosts known to have change ``at_least`` in force are not asked.
        """
        return self._call(
            gateway.StatusView, 'GET', 'status', at_least=at_least
        )

    def audit(self, after: int, limit: int) -> Records:
        """Return a page of the audit trail."""
        return self._read(Records, 'audit', after=after, limit=limit)

    def quarantine(self) -> Quarantine:
        """Return the requests in quarantine."""
        return self._read(Quarantine, 'quarantine')

    def clear(self, fingerprint: str) -> Cleared:
        """End the quarantine of ``fingerprint``."""
        return self._call(Cleared, 'DELETE', 'quarantine', fingerprint)

    def apply(
        self,
        pipeline: str,
        based_on: int,
        change_id: str,
        text: str | None,
    ) -> ChangeState:
        """Send a change once."""
        body = {'based_on': based_on, 'change_id': change_id, 'text': text}
        path = ('documents', pipeline)
        return self._call(ChangeState, 'PUT', *path, body=body)

    def change(self, change_id: str) -> ChangeState:
        """Return the state of a change, once."""
        return self._call(ChangeState, 'GET', 'changes', change_id)

    def settle(self, change_id: str) -> ChangeState:
        """Make the state of a change final, once."""
        return self._call(ChangeState, 'DELETE', 'changes', change_id)

    def _read(self, kind: type[T], *path: str, **query: int) -> T:
        call = retries.retrying(self._env)
        return call(self._call, kind, 'GET', *path, **query)

    def _call(
        self,
        kind: type[T],
        method: str,
        *path: str,
        body: typing.Any = None,
        **query: int,
    ) -> T:
        request = http_client.Request(
            method,
            self._make_url(path, query),
            self._headers,
            b'' if body is None else codec.to_json(body),
        )
        reply = self._env.client.send(request)
        return parse_answer(kind, request.url, reply)

    def _make_url(self, path: tuple[str, ...], query: dict[str, int]) -> str:
        url = '/'.join([self._url, 'v1', *map(quote, path)])
        return f'{url}?{urllib.parse.urlencode(query)}' if query else url


def quote(part: str) -> str:
    """Return ``part`` as one segment of a URL's path."""
    return urllib.parse.quote(part, safe='', errors='surrogateescape')


def parse_answer(kind: type[T], url: str, reply: http_client.Reply) -> T:
    """Return the answer in ``reply``; raises ServerError.

    An answer of another shape came from something between the two ends,
    and counts as lost.
    """
    try:
        body = codec.parse_json(reply.read())
        if reply.status < 400:
            return codec.from_plain(body, kind)
    except common_errors.MalformedError as error:
        raise errors.AnswerLostError(url, str(error)) from error
    raise _server_error(reply.status, body)


def _server_error(http_status: int, body: typing.Any) -> errors.ServerError:
    fields = body.get('error') if isinstance(body, dict) else None
    if not isinstance(fields, dict):
        fields = {}
    return errors.ServerError(
        http_status,
        str(fields.get('code', 'unknown')),
        str(fields.get('message', f'HTTP status {http_status}')),
        fields.get('is_retryable') is True,
        fields,
    )
