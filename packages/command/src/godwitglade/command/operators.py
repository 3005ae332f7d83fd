"""Calls of the operators' HTTP interface, with retries."""

import typing
import urllib.parse

import attrs
import tenacity

from godwitglade.command import environment
from godwitglade.command import errors
from godwitglade.command import http_client
from godwitglade.common import codec
from godwitglade.common import errors as common_errors

MAX_ATTEMPTS = 5
BACKOFF_S = 0.2
MAX_BACKOFF_S = 3


@attrs.frozen
class Answer:
    """An answer that is not an error: status and plain body."""

    status: int
    body: dict[str, typing.Any]


def is_retryable(error: BaseException) -> bool:
    """Tell whether the same call may succeed later."""
    is_coded = isinstance(error, common_errors.CodedError)
    return is_coded and error.is_retryable


def retrying(
    env: environment.Environment,
    should_retry: typing.Callable[[BaseException], bool] = is_retryable,
) -> tenacity.Retrying:
    """Return the retries of one call; the last error comes through."""
    return tenacity.Retrying(
        stop=tenacity.stop_after_attempt(MAX_ATTEMPTS),
        wait=tenacity.wait_random_exponential(BACKOFF_S, MAX_BACKOFF_S),
        retry=tenacity.retry_if_exception(should_retry),
        sleep=lambda delay_s: env.sleep_ms(int(delay_s * 1_000)),
        reraise=True,
    )


class Operators:
    """The operators' interface at ``url`` for the owner of ``token``."""

    def __init__(
        self, env: environment.Environment, url: str, token: str
    ) -> None:
        self._env = env
        self._url = url
        self._headers = {
            'Authorization': f'Bearer {token}',
            'Content-Type': 'application/json',
        }

    def read(self, *path: str, **query: int) -> dict[str, typing.Any]:
        """Return the body at ``path``; retried, as it changes nothing."""
        return retrying(self._env)(self.call, 'GET', *path, **query).body

    def call(
        self, method: str, *path: str, body: typing.Any = None, **query: int
    ) -> Answer:
        """Call once; raises ServerError, NotSentError, AnswerLostError."""
        request = http_client.Request(
            method,
            self._make_url(path, query),
            self._headers,
            b'' if body is None else codec.to_json(body),
        )
        reply = self._env.client.send(request)
        return parse_answer(request.url, reply)

    def _make_url(self, path: tuple[str, ...], query: dict[str, int]) -> str:
        url = '/'.join([self._url, 'v1', *map(quote, path)])
        return f'{url}?{urllib.parse.urlencode(query)}' if query else url


def quote(part: str) -> str:
    """Return ``part`` as one segment of a URL's path."""
    return urllib.parse.quote(part, safe='', errors='surrogateescape')


def parse_answer(url: str, reply: http_client.Reply) -> Answer:
    """Return the answer in ``reply``; raises ServerError.

    An answer that is not JSON came from something between the two ends,
    and counts as lost.
    """
    try:
        body = codec.parse_json(reply.read())
    except common_errors.MalformedError as error:
        raise errors.AnswerLostError(url, str(error)) from error
    if not isinstance(body, dict):
        raise errors.AnswerLostError(url, 'not an object')
    if reply.status < 400:
        return Answer(reply.status, body)
    raise _server_error(reply.status, body)


def _server_error(
    http_status: int, body: dict[str, typing.Any]
) -> errors.ServerError:
    fields = body.get('error')
    if not isinstance(fields, dict):
        fields = {}
    return errors.ServerError(
        http_status,
        str(fields.get('code', 'unknown')),
        str(fields.get('message', f'HTTP status {http_status}')),
        fields.get('is_retryable') is True,
        fields,
    )
