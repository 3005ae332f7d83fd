"""Stand-ins and processes that the scripts of this review share.

Workers and consumers are written here on asyncio. The store is the project's
own stand-in. All addresses are loopback addresses.
"""

import asyncio
import base64
import contextlib
import http.client
import json
import os
import pathlib
import random
import signal
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT), str(ROOT / 'target/deps')]

from bench.standins import edge_platform  # noqa: E402

#: A script may run for 120 s.
LIMIT_S = 115.0
HOST = 'desk.example'
KEY = 'key-1'
BOUNDS = {
    'seedLagS': 3,
    'reuseAfterS': 2,
    'contactMs': 3000,
    'ackMs': 4000,
    'catchUpS': 4,
    'drainMs': 2000,
    'graceS': 8,
    'lossSlackMs': 200,
    'configApplyMs': 2000,
    'downgradeSlackMs': 250,
    'extensionMs': 5000,
    'failClosed': True,
    'revokeMs': 5000,
    'retryBudgetRatio': 0.2,
    'budgetWindowS': 10,
    'retryAllowance': 58,
    'recoverS': 12,
}


def has_trouble():
    """Return whether the disruption takes place."""
    return os.environ.get('TROUBLE', '1') != '0'


class Record:
    """Writes record.txt in the folder of a case, at the path in RECORD."""

    def __init__(self, folder):
        default = str(pathlib.Path(folder) / 'record.txt')
        self._file = open(os.environ.get('RECORD', default), 'w')
        self._start_s = time.monotonic()

    def __call__(self, who, **fields):
        at_s = time.monotonic() - self._start_s
        text = ' '.join(f'{name}={value}' for name, value in fields.items())
        self._file.write(f'{at_s:8.3f} {who} {text}\n')
        self._file.flush()


class Request:
    """A request as a worker has read it."""

    def __init__(self, method, target, headers, body):
        self.method, self.target = method, target
        self.path = target.partition('?')[0]
        self.headers, self.body = headers, body
        self.attempt_id = headers.get('x-attempt-id', '')


async def read_head(reader):
    """Return the first line and the headers, None at the channel's end."""
    line = await reader.readline()
    if not line.endswith(b'\n'):
        return None
    headers = {}
    while True:
        raw = await reader.readline()
        if not raw.endswith(b'\n'):
            return None
        text = raw.decode('latin-1').strip()
        if not text:
            return line.decode('latin-1').strip(), headers
        name, _, value = text.partition(':')
        headers[name.strip().lower()] = value.strip()


class Worker:
    """A worker; `run` answers a request and may be replaced by a case."""

    def __init__(self, name, service, ip, record, zone='z1', slots=8):
        self.name, self.service, self.zone = name, service, zone
        self.ip, self.record, self.slots = ip, record, slots
        self.born = int(time.time() * 1_000)
        self.sequence = 1
        self.state = 'ready'
        self.runs = []
        self.answers = 0
        self.server = None
        self.channels = set()

    async def start(self, port=0):
        self.server = await asyncio.start_server(self._serve, self.ip, port)
        self.port = self.server.sockets[0].getsockname()[1]
        self.address = f'{self.ip}:{self.port}'

    def entry(self, **fields):
        return {
            'service': self.service,
            'address': self.address,
            'zone': self.zone,
            'version': 'v1',
            'slots': self.slots,
            'state': self.state,
            'coldRemainingMs': 0,
            'sequence': self.sequence,
            'born': self.born,
            **fields,
        }

    def stop(self):
        """End at once, with all channels, like a process that is killed."""
        if self.server is not None:
            self.server.close()
        for writer in list(self.channels):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self.channels.add(writer)
        try:
            while (head := await read_head(reader)) is not None:
                line, headers = head
                method, target, _ = line.split(' ', 2)
                length = int(headers.get('content-length', 0))
                body = await reader.readexactly(length)
                request = Request(method, target, headers, body)
                if not await self._answer(request, writer):
                    break
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self.channels.discard(writer)
            with contextlib.suppress(OSError):
                writer.close()

    async def _answer(self, request, writer):
        """Answer a request; return whether the channel is kept."""
        expected = request.headers.get('x-expect-instance', self.name)
        if expected != self.name:
            writer.write(
                response(
                    421, {'X-Instance-Id': self.name, 'X-Not-Executed': '1'}
                )
            )
            await writer.drain()
            return True
        if request.path == '/api/report':
            writer.write(response(200, {}, b'{"phase":"unified"}'))
            await writer.drain()
            return True
        if request.path == '/api/stage-free':
            writer.write(response(200, {}, b'{}'))
            await writer.drain()
            return True
        if request.path == '/api/stage-run':
            return await self.run_stage(request, writer)
        self.runs.append(request)
        self.record(
            'run',
            worker=self.name,
            id=request.attempt_id,
            path=request.path,
            deadline=request.headers.get('x-deadline-ms'),
        )
        self.answers += 1
        return await self.run(request, writer)

    def headers(self, request, **extra):
        return {
            'X-Attempt-Id': request.attempt_id,
            'X-Server-Signature': f'signed-{self.name}',
            'X-Instance-Load': f'1,0,{self.slots}',
            **{k.replace('_', '-'): v for k, v in extra.items()},
        }

    async def run_stage(self, request, writer):
        entries = json.loads(request.body)['entries']
        self.record('stage', worker=self.name, entries=json.dumps(entries))
        handles = [
            {'handle': f'{self.address}/{random.getrandbits(48):012x}'}
            for _ in entries
        ]
        raw = json.dumps({'entries': handles}).encode()
        writer.write(response(200, {'Content-Type': 'application/json'}, raw))
        await writer.drain()
        return True

    async def run(self, request, writer):
        writer.write(response(200, self.headers(request), b'whole'))
        await writer.drain()
        return True


def head(status, headers):
    """Return an encoded head of a response, without a length."""
    lines = [f'HTTP/1.1 {status} {http.client.responses[status]}']
    lines += [f'{name}: {value}' for name, value in headers.items()]
    return '\r\n'.join([*lines, '', '']).encode('latin-1')


def response(status, headers, body=b''):
    """Return an encoded response with a length."""
    return head(status, {**headers, 'Content-Length': len(body)}) + body


def chunk(content):
    """Return one chunk of a chunked body."""
    return b'%x\r\n%b\r\n' % (len(content), content)


class Answer:
    """What a consumer has received."""

    def __init__(self):
        self.status, self.headers, self.body = None, {}, b''
        self.is_complete, self.error = False, ''
        self.attempt_id = ''
        self.elapsed_s = 0.0


_numbers = iter(range(1, 1_000_000))
_prefix = f'{random.getrandbits(32):08x}'


def new_id():
    return f'{_prefix}{next(_numbers):08x}'


async def send(
    address,
    path,
    method='POST',
    body=b'{}',
    deadline_ms=8_000,
    key=KEY,
    attempt_id=None,
    headers=None,
    stop=None,
):
    """Send one request on a new channel and return the answer.

    The channel is closed when the event ``stop`` is set.
    """
    answer = Answer()
    answer.attempt_id = attempt_id or new_id()
    start_s = time.monotonic()
    fields = {
        'Host': HOST,
        'X-Attempt-Id': answer.attempt_id,
        'X-Deadline-Ms': str(deadline_ms),
        **({'Authorization': f'Bearer {key}'} if key else {}),
        **(headers or {}),
    }
    if body:
        fields['Content-Length'] = str(len(body))
    lines = [f'{method} {path} HTTP/1.1']
    lines += [f'{name}: {value}' for name, value in fields.items()]
    raw = '\r\n'.join([*lines, '', '']).encode('latin-1') + (body or b'')
    ip, _, port = address.rpartition(':')
    writer = None
    try:
        async with asyncio.timeout(deadline_ms / 1_000 + 1):
            reader, writer = await asyncio.open_connection(ip, int(port))
            writer.write(raw)
            await writer.drain()
            closer = stop and asyncio.create_task(_close_at(stop, writer))
            try:
                await _receive(reader, answer)
            finally:
                if closer:
                    closer.cancel()
    except (OSError, asyncio.IncompleteReadError, ValueError) as error:
        answer.error = type(error).__name__
    finally:
        answer.elapsed_s = time.monotonic() - start_s
        if writer is not None:
            writer.close()
    return answer


async def _close_at(stop, writer):
    await stop.wait()
    writer.transport.abort()


async def _receive(reader, answer):
    got = await read_head(reader)
    if got is None:
        answer.error = 'closed without a head'
        return
    line, answer.headers = got
    answer.status = int(line.split(' ')[1])
    if answer.headers.get('transfer-encoding', '').lower() == 'chunked':
        while True:
            size = int((await reader.readline()).split(b';')[0], 16)
            content = await reader.readexactly(size + 2)
            answer.body += content[:-2]
            if not size:
                answer.is_complete = True
                return
    if 'content-length' in answer.headers:
        left = int(answer.headers['content-length'])
        while left:
            part = await reader.read(left)
            if not part:
                return
            answer.body += part
            left -= len(part)
        answer.is_complete = True
        return
    answer.body = await reader.read()
    answer.is_complete = True


def route(name, kind, prefix, service, **fields):
    return {
        'name': name,
        'host': HOST,
        'prefix': prefix,
        'routeKind': kind,
        'timeoutMs': 3_000,
        'goalMs': 800,
        'priority': 0,
        'service': service,
        'attempts': 2,
        'stages': [],
        'anonymous': False,
        'sticky': False,
        'resumable': False,
        **fields,
    }


def manifest(version, routes, services, tenants):
    return {
        'version': version,
        'routes': routes,
        'services': services,
        'limits': {
            'maxHeaderBytes': 16_384,
            'maxBodyBytes': 4_194_304,
            'headerTimeoutMs': 3_000,
            'idleTimeoutMs': 15_000,
        },
        'tenants': tenants,
    }


TENANTS = [{'name': 'desk', 'apiKeys': [KEY], 'priority': 1}]
APP = {'name': 'app', 'healthPath': '/healthz', 'maxConnections': 110}
ENGINE = {
    'name': 'engine',
    'healthPath': '/healthz',
    'maxConnections': 310,
    'engine': {'slots': 48, 'kvCapacityTokens': 600_000},
}


class Proxy:
    """A TCP proxy; between `hold` and `release`, bytes wait in it."""

    def __init__(self, ip, target):
        self._ip, self._target = ip, target
        self._released = asyncio.Event()
        self._released.set()
        self.writers = set()

    async def start(self):
        self._server = await asyncio.start_server(self._serve, self._ip, 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f'{self._ip}:{port}'

    def stop(self):
        self.release()
        self._server.close()
        self.reset()

    def note(self, content):
        """Take note of what passes."""

    def hold(self):
        self._released.clear()

    def release(self):
        self._released.set()

    def reset(self):
        for writer in list(self.writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        await self._released.wait()
        ip, _, port = self._target.rpartition(':')
        try:
            up_reader, up_writer = await asyncio.open_connection(ip, int(port))
        except OSError:
            writer.transport.abort()
            return
        self.writers |= {writer, up_writer}
        try:
            await asyncio.gather(
                self._pump(reader, up_writer), self._pump(up_reader, writer)
            )
        finally:
            self.writers -= {writer, up_writer}

    async def _pump(self, reader, writer):
        try:
            while content := await reader.read(65_536):
                self.note(content)
                await self._released.wait()
                writer.write(content)
                await writer.drain()
            await self._released.wait()
            writer.close()
        except OSError:
            writer.transport.abort()


class Gate(Proxy):
    """The way of one machine to the store; notes what it follows."""

    has_followed = False

    def note(self, content):
        self.has_followed |= b'rows-feed?table=op&' in content


class Daemon:
    """One edge process, started as the deploy file says."""

    def __init__(self, name, ip, store_address, folder, zone='z1', **bounds):
        self.name, self.ip, self.zone = name, ip, zone
        self._folder = pathlib.Path(folder)
        ports = _free_ports(ip, 7)
        self.address, self.ready_address = (f'{ip}:{p}' for p in ports[:2])
        self._settings = {
            'nodeName': name,
            'role': 'edge',
            'machineClass': 'edge',
            'serves': ['edge'],
            'ip': ip,
            'zone': zone,
            'region': 'r1',
            'zones': {zone: 'r1'},
            'listen': {
                'frontend': self.address,
                'ready': self.ready_address,
                'controlPlane': f'{ip}:{ports[2]}',
            },
            'internalPorts': [ports[3], ports[4]],
            'seeds': [],
            'bootstrap': True,
            'limits': {
                'cpuShare': 0.537,
                'cores': 2,
                'memoryMb': 300,
                'maxFds': 4100,
                'linkMbps': 1000.0,
                'diskMb': 0,
            },
            'dataDir': None,
            'discovery': 'platform',
            'entry': 'anycast',
            'heartbeatMs': 1200,
            'bounds': {**BOUNDS, **bounds},
            'platform': {
                'address': store_address,
                'form': 'table',
                'writesPerS': 400,
                'readsPerS': 2000,
                'historyS': 20,
            },
        }
        self.process = None

    def start(self):
        with open(ROOT / 'deploy/system.toml', 'rb') as deploy_file:
            role = tomllib.load(deploy_file)['roles']['edge']
        settings_path = self._folder / f'{self.name}.yaml'
        # JSON is YAML.
        settings_path.write_text(json.dumps(self._settings, indent=1))
        env = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        env['GODWITGLADE_CONFIG'] = str(settings_path)
        env['PYTHONPATH'] = str(ROOT / 'target/deps')
        env['PYTHONDONTWRITEBYTECODE'] = '1'
        self.process = subprocess.Popen(
            role['run'].split(),
            cwd=ROOT,
            env=env,
            stdin=subprocess.DEVNULL,
            stdout=open(self._folder / f'{self.name}.log', 'a'),
            stderr=subprocess.STDOUT,
        )

    def signal(self, number):
        self.process.send_signal(number)

    def end(self):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()

    async def is_ready(self):
        ip, _, port = self.ready_address.rpartition(':')
        try:
            async with asyncio.timeout(1):
                reader, writer = await asyncio.open_connection(ip, int(port))
                writer.write(b'GET /api/readyz HTTP/1.1\r\nHost: x\r\n\r\n')
                got = await read_head(reader)
                writer.close()
                return got is not None and ' 200 ' in f'{got[0]} '
        except (OSError, asyncio.IncompleteReadError):
            return False

    def log_lines(self, *words):
        text = (self._folder / f'{self.name}.log').read_text()
        return [
            line
            for line in text.splitlines()
            if all(word in line for word in words)
        ]


def _free_ports(ip, count):
    import socket

    opened = [socket.socket() for _ in range(count)]
    for one in opened:
        one.bind((ip, 0))
    ports = [one.getsockname()[1] for one in opened]
    for one in opened:
        one.close()
    return ports


class CannotRun(Exception):
    """The case could not be set up."""


class Deployment:
    """A store, workers and edge processes of one case."""

    def __init__(self, folder):
        self.record = Record(folder)
        self.store = edge_platform.Store()
        self.temporary = tempfile.mkdtemp(prefix='godwitglade-review-')
        # The metrics port is fixed, so each process has its own address.
        base = random.randrange(1, 250), random.randrange(1, 250)
        self._ip = '127.%d.%d.' % base
        self.worker_ip = f'{self._ip}1'
        self.workers, self.daemons, self.proxies = [], [], []
        self.version = 0

    async def add_worker(self, worker):
        await worker.start()
        self.workers.append(worker)
        self.list_worker(worker)
        return worker

    def list_worker(self, worker, **fields):
        self.store.put('servers', worker.name, worker.entry(**fields))

    def configure(self, routes, services, tenants=TENANTS):
        self.version += 1
        plain = manifest(self.version, routes, services, tenants)
        self.store.put('op', 'config', plain)
        self.record('manifest', version=self.version)

    def add_daemon(self, store_address=None, **bounds):
        number = len(self.daemons) + 1
        daemon = Daemon(
            f'edge-{number}',
            f'{self._ip}{10 + number}',
            store_address or self.store.address,
            self.temporary,
            **bounds,
        )
        self.daemons.append(daemon)
        daemon.start()
        return daemon

    async def wait_ready(self, timeout_s=25.0):
        until_s = time.monotonic() + timeout_s
        for daemon in self.daemons:
            while not await daemon.is_ready():
                if time.monotonic() > until_s:
                    raise CannotRun(f'{daemon.name} is not ready')
                await asyncio.sleep(0.1)
        await asyncio.sleep(1.0)

    async def run(self, play):
        """Run ``play`` and end all that it started, on the same loop."""
        try:
            async with asyncio.timeout(LIMIT_S):
                return await play(self)
        finally:
            for daemon in self.daemons:
                daemon.end()
            for one in [*self.workers, *self.proxies]:
                one.stop()
            await asyncio.sleep(0.1)

    def end(self):
        for daemon in self.daemons:
            daemon.end()
        self.store.stop()
        if not os.environ.get('KEEP'):
            import shutil

            shutil.rmtree(self.temporary, ignore_errors=True)
        else:
            print('logs in', self.temporary)


def decoded(value):
    return base64.b64decode(value)


def main(folder, play):
    """Run ``play(deployment)``, which returns the breaches it has seen."""
    if not (ROOT / 'target/deps/godwitglade').exists():
        print('not built')
        sys.exit(2)
    # Ends the processes that it started if it is ended itself.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    deployment = Deployment(folder)
    try:
        broken = asyncio.run(deployment.run(play))
    except CannotRun as error:
        print('could not run:', error)
        deployment.record('end', could_not_run=error)
        sys.exit(2)
    except Exception as error:
        # Only a rule that was seen to break is reported as one.
        traceback.print_exc()
        deployment.record('end', could_not_run=repr(error))
        sys.exit(2)
    finally:
        deployment.end()
    for text in broken:
        deployment.record('BROKEN', what=text)
        print(text)
    deployment.record('end', broken=len(broken), trouble=has_trouble())
    print('broken' if broken else 'held')
    sys.exit(1 if broken else 0)
