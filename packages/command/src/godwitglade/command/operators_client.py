"""Client of the operators' HTTP interface."""

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
    """Response body: the documents in force."""

    documents: tuple[gateway.DocumentView, ...]


@attrs.frozen
class Records:
    """Response body: a page of the audit trail."""

    records: tuple[audit.AuditRecord, ...]


@attrs.frozen
class Quarantine:
    """Response body: the requests in quarantine."""

    quarantine: tuple[gateway.QuarantineView, ...]


@attrs.frozen
class ChangeState:
    """Response body: the state of a change.

    ``state`` is ``applied``, ``absent``, ``unknown`` or ``not_applied``;
    ``pipeline``, ``version`` and ``sequence`` are set when it is applied.
    """

    state: str
    change_id: str
    pipeline: str = ''
    version: int = 0
    sequence: int = 0

    @property
    def is_applied(self) -> bool:
        """Return whether the change was applied."""
        return self.state == 'applied'


@attrs.frozen
class Cleared:
    """Response body: a quarantine that was cleared."""

    state: str
    fingerprint: str


class Client:
    """Calls the operators' interface at ``url`` with a bearer ``token``.

    Each method raises ServerError, NotSentError or AnswerLostError. Reads
    are retried unless their docstring says that they are sent once.
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
        """Return the documents in force that the operator may read."""
        return self._get(Documents, 'documents')

    def document(self, pipeline: str) -> gateway.DocumentView:
        """Return the document in force of ``pipeline``."""
        return self._get(gateway.DocumentView, 'documents', pipeline)

    def status(self) -> gateway.StatusView:
        """Return the versions in force on each host."""
        return self._get(gateway.StatusView, 'status')

    def poll_status(self, at_least: int) -> gateway.StatusView:
        """Return the versions in force on each host; sent once.

        The server does not query hosts that it knows to have change
        ``at_least`` in force.
        """
        return self._call(
            gateway.StatusView, 'GET', 'status', at_least=at_least
        )

    def audit(self, after: int, limit: int) -> Records:
        """Return a page of the audit trail."""
        return self._get(Records, 'audit', after=after, limit=limit)

    def quarantine(self) -> Quarantine:
        """Return the requests in quarantine."""
        return self._get(Quarantine, 'quarantine')

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
        """Send a change and return its state; sent once."""
        body = {'based_on': based_on, 'change_id': change_id, 'text': text}
        path = ('documents', pipeline)
        return self._call(ChangeState, 'PUT', *path, body=body)

    def change(self, change_id: str) -> ChangeState:
        """Return the state of a change; sent once."""
        return self._call(ChangeState, 'GET', 'changes', change_id)

    def settle(self, change_id: str) -> ChangeState:
        """Make the state of a change final and return it; sent once."""
        return self._call(ChangeState, 'DELETE', 'changes', change_id)

    def _get(self, kind: type[T], *path: str, **query: int) -> T:
        call = retries.make_retrying(self._env)
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
        return parse_reply(kind, request.url, reply)

    def _make_url(self, path: tuple[str, ...], query: dict[str, int]) -> str:
        url = '/'.join([self._url, 'v1', *map(quote_segment, path)])
        return f'{url}?{urllib.parse.urlencode(query)}' if query else url


def quote_segment(segment: str) -> str:
    """Return ``segment`` quoted as one segment of a URL's path."""
    return urllib.parse.quote(segment, safe='', errors='surrogateescape')


def parse_reply(kind: type[T], url: str, reply: http_client.Reply) -> T:
    """Return the body of ``reply`` as a ``kind``; raises ServerError.

    A body of another shape comes from an intermediary, such as a proxy,
    and raises AnswerLostError: the server's response is unknown.
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
