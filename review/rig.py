"""Stand-ins of the scripts in review/6 to review/10; standard library only.

A store, workers, clients, and edge processes started as the deploy file says.
All addresses are loopback addresses. The store and the workers follow the
users' PROTOCOL.md; where it is silent they behave like sound servers.
"""

import base64
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
#: Processes that a script starts count from the same moment.
START = float(os.environ.setdefault('RIG_START', str(time.monotonic())))


def now():
    return time.monotonic() - START


class Log:
    """Writes what was sent, answered and run to record.txt."""

    def __init__(self, path, is_first=True):
        self.lock = threading.Lock()
        if is_first:
            open(path, 'w').close()
        self.file = open(path, 'a', encoding='utf-8')

    def __call__(self, text):
        with self.lock:
            self.file.write(f'{now():8.3f}  {text}\n')
            self.file.flush()


def read_request(rfile):
    """Return (method, target, headers, body) or None at the end."""
    line = rfile.readline()
    if not line or not line.strip():
        return None
    method, target, _ = line.decode('latin-1').split(' ', 2)
    headers = {}
    while True:
        line = rfile.readline()
        if not line:
            return None
        if line in (b'\r\n', b'\n'):
            break
        name, _, value = line.decode('latin-1').partition(':')
        headers[name.strip().lower()] = value.strip()
    length = int(headers.get('content-length', 0))
    body = rfile.read(length)
    if len(body) < length:
        return None
    return method, target, headers, body


def encode(status, headers, body=b'', reason='x'):
    lines = [f'HTTP/1.1 {status} {reason}']
    lines += [f'{k}: {v}' for k, v in headers.items()]
    lines += [f'Content-Length: {len(body)}', '', '']
    return '\r\n'.join(lines).encode('latin-1') + body


class Server:
    """A threaded HTTP server; subclasses define answer(conn, request)."""

    def __init__(self, ip='127.0.0.1', port=0):
        self.listener = socket.create_server((ip, port), backlog=256)
        self.address = '%s:%d' % self.listener.getsockname()[:2]
        self.open = set()
        self.closed = False
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            try:
                conn, _ = self.listener.accept()
            except OSError:
                return
            conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.open.add(conn)
            threading.Thread(target=self._serve, args=(conn,), daemon=True).start()

    def _serve(self, conn):
        rfile = conn.makefile('rb')
        try:
            while (request := read_request(rfile)) is not None:
                if not self.answer(conn, request):
                    break
        except (OSError, ValueError):
            pass
        finally:
            self.open.discard(conn)
            try:
                rfile.close()
                conn.close()
            except OSError:
                pass

    def stop(self):
        self.closed = True
        try:
            self.listener.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        self.listener.close()


class Store(Server):
    """The platform's store: rows, feeds, transactions."""

    def __init__(self, **kw):
        self.rows, self.version = {}, 0
        self.changed = threading.Condition()
        super().__init__(**kw)

    def put(self, table, key, value):
        raw = value if isinstance(value, bytes) else json.dumps(value).encode()
        with self.changed:
            self._write(table, key, base64.b64encode(raw).decode())
            self.changed.notify_all()

    def _write(self, table, key, value):
        self.version += 1
        self.rows[table, key] = {
            'table': table, 'part': '', 'key': key, 'value': value,
            'schemaVersion': self.version,
        }

    def remove(self, table, key):
        with self.changed:
            self.version += 1
            self.rows[table, key] = {
                'table': table, 'part': '', 'key': key, 'deleted': True,
                'schemaVersion': self.version,
            }
            self.changed.notify_all()

    def _of(self, table, after):
        rows = [r for r in self.rows.values()
                if r['table'] == table and r['schemaVersion'] > after]
        return sorted(rows, key=lambda r: r['schemaVersion'])

    def _reply(self, rows):
        body = json.dumps({'rows': rows, 'hasMore': False,
                           'schemaVersion': self.version,
                           'nowMs': int(time.monotonic() * 1000)}).encode()
        return encode(200, {'Content-Type': 'application/json'}, body)

    def answer(self, conn, request):
        method, target, headers, body = request
        path, _, query = target.partition('?')
        q = dict(urllib.parse.parse_qsl(query))
        with self.changed:
            if path == '/api/rows-get':
                rows = [r for r in self._of(q['table'], 0) if 'deleted' not in r]
                reply = self._reply(sorted(rows, key=lambda r: r['key']))
            elif path == '/api/rows-feed':
                until = time.monotonic() + int(q.get('waitMs', 0)) / 1000
                while not (rows := self._of(q['table'], int(q['after']))):
                    left = until - time.monotonic()
                    if left <= 0:
                        break
                    self.changed.wait(left)
                reply = self._reply(rows)
            elif path == '/api/rows-tx':
                plain = json.loads(body)
                for row in plain.get('write', ()):
                    self._write(row['table'], row['key'], row['value'])
                for row in plain.get('remove', ()):
                    self.version += 1
                    self.rows[row['table'], row['key']] = {
                        'table': row['table'], 'part': '', 'key': row['key'],
                        'deleted': True, 'schemaVersion': self.version}
                self.changed.notify_all()
                reply = self._reply([])
            else:
                reply = encode(404, {})
        conn.sendall(reply)
        return True


class Worker(Server):
    """A worker; run(request) may be replaced."""

    def __init__(self, name, service, log, zone='z1', slots=8, work_s=0.02, queue=2, **kw):
        self.name, self.service, self.zone = name, service, zone
        self.slots, self.work_s, self.log, self.queue = slots, work_s, log, queue
        self.born = int(time.time() * 1000)
        self.running, self.waiting = 0, 0
        self.lock = threading.Condition()
        self.runs = []
        super().__init__(**kw)

    def entry(self, **over):
        return {'service': self.service, 'address': self.address, 'zone': self.zone,
                'version': 'v1', 'slots': self.slots, 'state': 'ready',
                'coldRemainingMs': 0, 'sequence': 1, 'born': self.born, **over}

    def answer(self, conn, request):
        method, target, headers, body = request
        if headers.get('x-expect-instance', self.name) != self.name:
            conn.sendall(encode(421, {'X-Instance-Id': self.name}))
            return True
        if target == '/api/report':
            conn.sendall(encode(200, {'Content-Type': 'application/json'},
                         json.dumps({'born': self.born, 'queued': 0, 'busy': 0}).encode()))
            return True
        if target == '/api/stage-free':
            conn.sendall(encode(200, {}, b'{}'))
            return True
        return self.serve(conn, request)

    def headers(self, request):
        return {'X-Attempt-Id': request[2].get('x-attempt-id', ''),
                'X-Server-Signature': 'sig-' + self.name,
                'X-Instance-Load': f'{self.running},{self.waiting},{self.slots}'}

    def serve(self, conn, request):
        attempt = request[2].get('x-attempt-id', '')
        with self.lock:
            if self.running >= self.slots:
                if self.waiting >= self.queue:
                    self.log(f'worker {self.name} is full, rejects {attempt}')
                    self.rejected(request)
                    conn.sendall(encode(503, self.headers(request) | {'X-Not-Executed': '1'}))
                    return True
                self.waiting += 1
                while self.running >= self.slots:
                    self.lock.wait()
                self.waiting -= 1
            self.running += 1
        self.runs.append((now(), request))
        self.log(f'worker {self.name} runs {attempt} {request[0]} {request[1]} body={len(request[3])}')
        try:
            reply = self.work(request)
        finally:
            with self.lock:
                self.running -= 1
                self.lock.notify_all()
        conn.sendall(reply)
        return True

    def rejected(self, request):
        pass

    def work(self, request):
        time.sleep(self.work_s)
        return encode(200, self.headers(request), b'done ' + request[2].get('x-attempt-id', '').encode())


def free_ports(ip, count):
    """Return different free ports of an address."""
    sockets = [socket.create_server((ip, 0)) for _ in range(count)]
    ports = [each.getsockname()[1] for each in sockets]
    for each in sockets:
        each.close()
    return ports


#: The metrics port of an edge process is fixed, so each has its own address.
METRICS_PORT = 9464
NETWORK = f'127.{random.randrange(20, 220)}.{random.randrange(250)}'


def network():
    """Return the first three numbers of loopback addresses of this run."""
    with socket.create_server((f'{NETWORK}.1', METRICS_PORT)):
        return NETWORK


def run(main):
    """End with what main returns, or with 2 if it fails."""
    try:
        status = main()
    except Exception as error:
        print(f'the case could not run: {error!r}')
        status = 2
    sys.exit(status)


def has_trouble():
    return os.environ.get('TROUBLE', '1') != '0'


def require_build():
    """End with 2 if the deploy file was not built."""
    if not os.path.isdir(os.path.join(ROOT, 'target', 'deps', 'godwitglade')):
        print('target/deps is missing: build by deploy/system.toml first')
        sys.exit(2)


class CheckIns:
    """Writes the entries of workers at the interval of heartbeatMs."""

    def __init__(self, store, workers, every_s=1.2):
        self.store, self.workers, self.every_s = store, workers, every_s
        self.sequence = {w.name: 0 for w in workers}
        self.overrides = {w.name: {} for w in workers}
        self.silent, self.due = set(), {}
        for worker in workers:
            self.write(worker)
        threading.Thread(target=self._run, daemon=True).start()

    def write(self, worker):
        """Write an entry; the next one follows a whole interval later."""
        self.due[worker.name] = time.monotonic() + self.every_s
        self.sequence[worker.name] += 1
        self.store.put('servers', worker.name, worker.entry(
            sequence=self.sequence[worker.name], **self.overrides[worker.name]))

    def _run(self):
        while True:
            time.sleep(0.02)
            for worker in self.workers:
                is_due = time.monotonic() >= self.due[worker.name]
                if is_due and worker.name not in self.silent:
                    self.write(worker)


class Edge:
    """An edge process started as deploy/system.toml says."""

    def __init__(self, name, ip, store, zone='z1', zones=('z1',), bounds=None, extra=None, log=None):
        self.name, self.ip, self.zone, self.log = name, ip, zone, log
        self.dir = tempfile.mkdtemp(prefix="review-")
        ports = free_ports(ip, 4)
        self.front, self.ready = f'{ip}:{ports[0]}', f'{ip}:{ports[1]}'
        self.settings = {
            'nodeName': name, 'role': 'edge', 'machineClass': 'edge', 'serves': ['edge'],
            'ip': ip, 'zone': zone, 'region': 'r', 'zones': {z: 'r' for z in zones},
            'listen': {'frontend': self.front, 'ready': self.ready},
            'internalPorts': [ports[2], ports[3]],
            'bootstrap': True, 'heartbeatMs': 1200,
            'limits': {'cpuShare': 0.537, 'cores': 2, 'memoryMb': 300, 'maxFds': 4100,
                       'linkMbps': 1000.0, 'diskMb': 0},
            'bounds': {'seedLagS': 3, 'reuseAfterS': 2, 'contactMs': 3000, 'ackMs': 4000,
                       'catchUpS': 4, 'drainMs': 2000, 'graceS': 8, 'lossSlackMs': 200,
                       'configApplyMs': 2000, 'downgradeSlackMs': 250, 'extensionMs': 5000,
                       'failClosed': True, 'revokeMs': 5000, 'retryBudgetRatio': 0.2,
                       'budgetWindowS': 10, 'retryAllowance': 58, 'recoverS': 12,
                       'passMs': 120, 'reuseWindowS': 7.3, **(bounds or {})},
            'platform': {'address': store, 'form': 'table', 'writesPerS': 400,
                         'readsPerS': 2000, 'txMs': 3.0, 'historyS': 20},
            **(extra or {})}
        self.path = os.path.join(self.dir, 'settings.yaml')
        with open(self.path, 'w') as f:
            json.dump(self.settings, f)  # JSON is YAML
        self.process = None

    def start(self):
        environment = {k: v for k, v in os.environ.items() if k in ('PATH', 'HOME', 'LANG')}
        environment |= {'GODWITGLADE_CONFIG': self.path,
                        'PYTHONPATH': os.path.join(ROOT, 'target', 'deps')}
        with open(os.path.join(self.dir, 'log'), 'ab') as out:
            self.process = subprocess.Popen(
                ['python3', '-m', 'godwitglade.edge'], cwd=ROOT,
                env=environment, stdout=out, stderr=out)
        if self.log:
            self.log(f'{self.name} starts')

    def await_ready(self, limit_s=20):
        until = time.monotonic() + limit_s
        while time.monotonic() < until:
            try:
                if Channel(self.ready).ask('GET', '/api/readyz', {}, timeout=1)[0] == 200:
                    return True
            except OSError:
                pass
            time.sleep(0.05)
        if self.log:
            self.log(f'{self.name} is not ready: {self.output()[-2000:]}')
        return False

    def signal(self, number):
        self.log and self.log(f'{self.name} gets {signal.Signals(number).name}')
        self.process.send_signal(number)

    def stop(self):
        if self.process and self.process.poll() is None:
            self.process.kill()
            self.process.wait()
        shutil.rmtree(self.dir, ignore_errors=True)

    def output(self):
        return open(os.path.join(self.dir, 'log')).read()


class Channel:
    """A client's channel to an address."""

    def __init__(self, address, timeout=10):
        ip, _, port = address.rpartition(':')
        self.sock = socket.create_connection((ip, int(port)), timeout)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.rfile = self.sock.makefile('rb')

    def send(self, method, target, headers, body=b''):
        lines = [f'{method} {target} HTTP/1.1'] + [f'{k}: {v}' for k, v in headers.items()]
        if body or method == 'POST':
            lines.append(f'Content-Length: {len(body)}')
        self.sock.sendall('\r\n'.join([*lines, '', '']).encode('latin-1') + body)

    def receive(self, timeout=10):
        """Return (status, headers, body, complete); status 0 if closed without an answer."""
        self.sock.settimeout(timeout)
        try:
            line = self.rfile.readline()
            if not line:
                return 0, {}, b'', False
            status, headers = int(line.split()[1]), {}
            while (line := self.rfile.readline()) not in (b'\r\n', b''):
                k, _, v = line.decode('latin-1').partition(':')
                headers[k.strip().lower()] = v.strip()
            if 'content-length' in headers:
                n = int(headers['content-length'])
                body = self.rfile.read(n)
                return status, headers, body, len(body) == n
            if headers.get('transfer-encoding') == 'chunked':
                body = b''
                while True:
                    line = self.rfile.readline()
                    if not line.strip():
                        return status, headers, body, False
                    n = int(line, 16)
                    part = self.rfile.read(n)
                    body += part
                    if len(part) < n:
                        return status, headers, body, False
                    self.rfile.readline()
                    if n == 0:
                        return status, headers, body, True
            return status, headers, self.rfile.read(), True
        except (ConnectionError, TimeoutError, ValueError) as error:
            return (-1 if isinstance(error, TimeoutError) else 0), {}, b'', False

    def ask(self, method, target, headers, body=b'', timeout=10):
        self.send(method, target, headers, body)
        reply = self.receive(timeout)
        self.close()
        return reply

    def close(self):
        try:
            self.rfile.close()
            self.sock.close()
        except OSError:
            pass


def manifest(version, services, routes, keys=None, **over):
    """Return a manifest; routes are dicts with at least name and service."""
    full = []
    for route in routes:
        full.append({'host': 'site.example', 'prefix': f'/{route["name"]}/', 'routeKind': 'idempotent',
                     'timeoutMs': 8000, 'goalMs': 1000, 'priority': 1, 'attempts': 2, **route})
    plain = {'version': version, 'routes': full, 'services': services,
             'limits': {'maxHeaderBytes': 16384, 'maxBodyBytes': 4194304,
                        'headerTimeoutMs': 3000, 'idleTimeoutMs': 15000}, **over}
    if keys is not None:
        plain['tenants'] = keys
    return plain
