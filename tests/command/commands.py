"""Runs the command in the test process, with fakes of its servers."""

import io
import itertools

import attrs

from godwitglade.command import core
from godwitglade.command import environment
from godwitglade.command import errors
from godwitglade.command import http_client
from godwitglade.common import clock as clocks
from godwitglade.common import codec
from tests.operators import gateways

IDS = itertools.count(1)


@attrs.frozen
class Result:
    """Exit status and output of a run."""

    status: str
    stdout: str
    stderr: str

    @property
    def json(self):
        return codec.parse_json(self.stdout.encode())


class FakeOperators:
    """Sends requests to the operators' application in memory.

    Each request consumes the next of ``faults``: ``ok``, ``unsent``,
    ``lost_before`` (the request is lost), ``lost_after`` (the response is
    lost) or ``garbled``.
    """

    def __init__(self, fake, faults=()):
        self.app = gateways.make_app(fake)
        self.faults = iter(faults)
        self.sent = []

    def send(self, request):
        fault = next(self.faults, 'ok')
        if fault == 'unsent':
            raise errors.NotSentError(request.url, 'refused')
        if fault == 'lost_before':
            raise errors.AnswerLostError(request.url, 'reset')
        self.sent.append(request)
        token = request.headers['Authorization'].removeprefix('Bearer ')
        path = request.url.removeprefix('http://operators')
        client = gateways.Client(self.app, token)
        response = client.call(request.method, path, request.body)
        if fault == 'lost_after':
            raise errors.AnswerLostError(request.url, 'reset')
        body = b'<html>' if fault == 'garbled' else response.data
        return http_client.Reply(
            response.status, response.headers, iter([body])
        )


class FakeCallers:
    """Returns the same reply to every request, or raises ``error``."""

    def __init__(self, status=200, chunks=(), content_type='json', error=None):
        headers = {'Content-Type': content_type}
        self.reply = http_client.Reply(status, headers, iter(chunks))
        self.error = error
        self.sent = []

    def send(self, request):
        self.sent.append(request)
        if self.error is not None:
            raise self.error
        return self.reply


def run(*args, client=None, fake=None, faults=(), stdin='', token='amina'):
    """Run ``godwitglade`` with ``args`` against a host in memory."""
    fake = gateways.FakeGateway() if fake is None else fake
    clock = clocks.ManualClock()
    env = environment.Environment(
        stdin=io.StringIO(stdin),
        stdout=io.StringIO(),
        stderr=io.StringIO(),
        environ={
            'GODWITGLADE_URL': 'http://operators/',
            'GODWITGLADE_CALLERS_URL': 'http://callers/',
            'GODWITGLADE_TOKEN': f'{token}-token',
        },
        clock=clock,
        client=client or FakeOperators(fake, faults),
        sleep_ms=clock.advance,
        make_id=lambda: f'change-{next(IDS):016}',
    )
    status = core.main([str(arg) for arg in args], env)
    return Result(status.name, env.stdout.getvalue(), env.stderr.getvalue())
