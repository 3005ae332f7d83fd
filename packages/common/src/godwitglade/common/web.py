"""Helpers of the HTTP applications: typed errors, bounded bodies, JSON."""

import typing

import attrs
import cherrypy

from godwitglade.common import codec
from godwitglade.common import errors
from godwitglade.common import request_errors

JSON = 'application/json'


@attrs.define(auto_exc=True, str=False)
class NotFoundError(errors.CodedError):
    """No resource exists at this path."""

    code = 'not_found'
    http_status = 404
    template = 'no resource at {path}'

    path: str


@attrs.define(auto_exc=True, str=False)
class MethodError(errors.CodedError):
    """The resource does not support this HTTP method."""

    code = 'method_not_allowed'
    http_status = 405
    template = '{path} supports only {allowed}'

    path: str
    allowed: str


@attrs.define(auto_exc=True, str=False)
class BodyIncompleteError(errors.CodedError):
    """The connection closed before the complete body had arrived."""

    code = 'body_incomplete'
    http_status = 400
    is_retryable = True
    template = 'received {size_bytes} of {declared_bytes} bytes of the body'

    size_bytes: int
    declared_bytes: int


@attrs.define(auto_exc=True, str=False)
class RequestError(errors.CodedError):
    """CherryPy rejected the request; ``status`` is the status line sent."""

    code = 'bad_request'
    http_status = 400
    template = '{status}'

    status: str


def make_app(root: typing.Any) -> cherrypy.Application:
    """Return a WSGI application for ``root``."""
    config = {
        '/': {
            'request.process_request_body': False,
            'request.show_tracebacks': False,
            'tools.encode.on': False,
            'tools.trailing_slash.on': False,
            'error_page.default': _error_page,
        }
    }
    app = cherrypy.Application(root, '', config)
    # Requests are logged as structured events instead.
    app.log.access = _skip_access_log
    return app


def check_method(*allowed: str) -> str:
    """Return the method of the request; raises MethodError."""
    method = cherrypy.request.method
    if method not in allowed:
        path = cherrypy.request.path_info
        raise MethodError(path, ', '.join(allowed))
    return method


def read_body(limit_bytes: int) -> bytes:
    """Return the complete body of the request.

    Raises BodyTooLargeError, BodyTooSlowError, BodyIncompleteError and
    RequestError.
    """
    declared = cherrypy.request.headers.get('Content-Length', '0')
    declared_bytes = int(declared) if declared.isdigit() else 0
    if declared_bytes > limit_bytes:
        raise _close_connection(request_errors.BodyTooLargeError(limit_bytes))
    try:
        body = cherrypy.request.rfile.read(limit_bytes + 1)
    except TimeoutError as error:
        raise _close_connection(request_errors.BodyTooSlowError()) from error
    except ValueError as error:
        malformed = RequestError(f'400 Bad Request: {error}')
        raise _close_connection(malformed) from error
    if len(body) > limit_bytes:
        raise _close_connection(request_errors.BodyTooLargeError(limit_bytes))
    if len(body) < declared_bytes:
        raise _close_connection(BodyIncompleteError(len(body), declared_bytes))
    return body


def _close_connection(error: errors.CodedError) -> errors.CodedError:
    # The unread rest of the body would be parsed as the next request.
    cherrypy.response.headers['Connection'] = 'close'
    return error


def json_response(status: int, body: bytes) -> bytes:
    """Set the status and content type of a response; return ``body``."""
    cherrypy.response.status = status
    cherrypy.response.headers['Content-Type'] = JSON
    return body


def error_body(error: errors.CodedError) -> bytes:
    """Return the JSON body of a typed error, including its fields."""
    fields = {
        'code': error.code,
        'message': str(error),
        'is_retryable': error.is_retryable,
    }
    return codec.to_json({'error': {**codec.to_plain(error), **fields}})


def _error_page(status: str, **_context: str) -> bytes:
    cherrypy.response.headers['Content-Type'] = JSON
    is_server_fault = status.startswith('5')
    error = errors.CodedError() if is_server_fault else RequestError(status)
    return error_body(error)


def _skip_access_log() -> None:
    return None
