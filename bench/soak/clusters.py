"""A store, targets, and edge processes, connected through links."""

import os
import pathlib
import random
import signal
import socket
import threading
import time
import typing

import attrs
import yaml

from bench import processes
from bench.soak import proxy
from bench.soak import standins
from bench.standins import edge_document

#: Documented bounds, both set in the settings and checked.
REVOKE_S = 5.0
GRACE_S = 8.0
RETRY_RATIO = 0.2
RETRY_ALLOWANCE = 20.0
BUDGET_WINDOW_S = 10.0
#: Deadline that callers send with each request.
TIMEOUT_S = 1.5

POOLS = ('app', 'engine', 'encode')
#: Engines of two versions serve side by side.
VERSIONS = ('v1', 'v2')
CALLERS_PORT, READY_PORT, PEERS_PORT, SPARE_PORT = 8000, 8001, 8002, 8003
READY_WAIT_S = 20.0


@attrs.frozen
class KeyValidity:
    """The time span in which a caller's bearer key is valid.

    ``until_s`` may be open.
    """

    key: str
    from_s: float
    until_s: float | None = None


@attrs.define(eq=False)
class Edge:
    """An edge process that can be restarted.

    ``incarnation`` counts its starts; ``faults`` are the failures seen.
    ``is_taken`` while a fault stops or signals its process. ``python_path``
    is that of another build, which the process runs instead.
    """

    name: str
    ip: str
    zone: str
    directory: pathlib.Path
    callers: proxy.Link
    peers: proxy.Link
    store: proxy.Link
    view: standins.StoreView
    incarnation: int = 0
    process: processes.Process | None = None
    faults: list[str] = attrs.field(factory=list)
    is_taken: bool = False
    python_path: str = ''
    _log_offset: int = 0

    @property
    def log_path(self) -> pathlib.Path:
        """Return the file that receives the output of the process."""
        return self.directory / f'{self.name}.log'

    def start(self) -> None:
        """Start the process."""
        self.incarnation += 1
        if self.log_path.exists():
            self._log_offset = self.log_path.stat().st_size
        settings = self.directory / f'{self.name}.yaml'
        settings.write_text(yaml.safe_dump(self._settings()))
        self.process = processes.Process(
            'godwitglade.edge',
            environment=os.environ
            | {'GODWITGLADE_CONFIG': str(settings)}
            | ({'PYTHONPATH': self.python_path} if self.python_path else {}),
            log_path=self.log_path,
        )

    def is_ready(self) -> bool:
        """Tell whether the process reports that it accepts requests."""
        url = f'http://{self.ip}:{READY_PORT}/api/readyz'
        try:
            return processes.http.request('GET', url).status == 200
        except processes.HTTP_ERRORS:
            return False

    def stop(self) -> None:
        """Terminate the process and check its exit."""
        self.process.terminate()
        try:
            status = self.process.wait(GRACE_S)
        except processes.TimeoutExpired:
            self.faults.append(
                f'{self.name} still ran {GRACE_S} s after SIGTERM'
            )
            self.process.kill()
            return
        if status == -signal.SIGTERM and not self.has_started():
            # The signal came before the program installed its handler.
            return
        if status:
            self.faults.append(f'{self.name} exited with status {status}')

    def has_started(self) -> bool:
        """Tell whether the process has set its handlers of signals."""
        with self.log_path.open(encoding='utf-8', errors='replace') as log:
            log.seek(self._log_offset)
            return '"event": "started"' in log.read()

    def _settings(self) -> dict[str, typing.Any]:
        return {
            'nodeName': self.name,
            'zone': self.zone,
            'ip': self.ip,
            'listen': {
                'frontend': f'{self.ip}:{CALLERS_PORT}',
                'ready': f'{self.ip}:{READY_PORT}',
            },
            'platform': {'address': self.store.address},
            'internalPorts': [PEERS_PORT, SPARE_PORT],
            'bounds': {
                'retryBudgetRatio': RETRY_RATIO,
                'retryAllowance': RETRY_ALLOWANCE,
                'budgetWindowS': BUDGET_WINDOW_S,
                'revokeMs': int(REVOKE_S * 1_000),
                'failClosed': True,
                'graceS': GRACE_S,
            },
        }


class Cluster:
    """The components of one soak test, and changes by the operator."""

    def __init__(
        self,
        directory: pathlib.Path,
        hosts: int,
        rng: random.Random,
        other_path: str = '',
    ) -> None:
        self.rng = rng
        #: Share of requests whose callers wait less than the others.
        self.hurried_share = 0.0
        #: Share of requests, besides others, that may use any connection.
        self.repeatable_share = 0.0
        self.store = standins.Store()
        self.targets: list[standins.Target] = []
        self.retired_targets: list[standins.Target] = []
        self.keys: list[KeyValidity] = []
        self.version = 0
        self.bad_parts: frozenset[str] = frozenset()
        self._change_lock = threading.Lock()
        self._target_count = 0
        network = _loopback_network()
        self.edges = [
            self._make_edge(
                f'edge-{n}', f'{network}.{n}', f'z{n % 2}', directory
            )
            for n in range(1, hosts + 1)
        ]
        for edge in self.edges[1::2]:
            edge.python_path = other_path
        for number, pool in enumerate(POOLS * 3):
            version = VERSIONS[number % len(VERSIONS)]
            self.add_target(pool, f'z{number % 2}', version)
        self.add_target('engine', 'z1', VERSIONS[0])
        self.rotate_keys()

    def start(self) -> None:
        """Start the processes; raises ConditionTimeoutError."""
        for edge in self.edges:
            edge.start()
        for edge in self.edges:
            processes.await_condition(
                edge.is_ready, f'{edge.name} is not ready'
            )

    def stop(self) -> None:
        """Stop everything that was started."""
        for edge in self.edges:
            edge.process.close()
        for target in [*self.targets, *self.retired_targets]:
            target.stop()
        for edge in self.edges:
            edge.view.stop()
        self.store.stop()

    def add_target(
        self, pool: str, zone: str, version: str = VERSIONS[0]
    ) -> standins.Target:
        """Start a target and register it in the store."""
        with self._change_lock:
            self._target_count += 1
            # Another test process may listen on the port of one that ended.
            name = f'{pool}-{os.getpid()}-{self._target_count}'
        target = standins.Target(name, pool, zone, version)
        target.bad_parts = self.bad_parts
        target.rng.seed(self.rng.getrandbits(64))
        self.targets.append(target)
        self.store.put('servers', name, target.entry())
        return target

    def set_bad_parts(self, parts: frozenset[str]) -> None:
        """Make prompt parts crash each engine, from now on."""
        self.bad_parts = parts
        for target in self.targets:
            target.bad_parts = parts

    def replace_crashed(self) -> None:
        """Start another target for each that crashed, under a new name."""
        for target in list(self.targets):
            if target.crashed_s is not None:
                self.targets.remove(target)
                self.retired_targets.append(target)
                self.add_target(target.pool, target.zone, target.version)
                self.store.delete('servers', target.name)

    def retire(self, target: standins.Target) -> None:
        """Mark a target as draining; it still records the requests it gets."""
        self.store.put('servers', target.name, target.entry(state='draining'))
        target.draining_since_s = time.monotonic()
        self.targets.remove(target)
        self.retired_targets.append(target)

    def rotate_keys(self) -> None:
        """Write a document that adds a caller's key and revokes the oldest."""
        with self._change_lock:
            self.version += 1
            now_s = time.monotonic()
            keys = [f'key-{self.version - 1}', f'key-{self.version}']
            document = edge_document.document(self.version, keys)
            self.store.put('op', 'config', document)
            self.keys = [
                (
                    attrs.evolve(validity, until_s=time.monotonic())
                    if validity.until_s is None and validity.key not in keys
                    else validity
                )
                for validity in self.keys
            ]
            seen = {validity.key for validity in self.keys}
            self.keys += [KeyValidity(k, now_s) for k in keys if k not in seen]

    def _make_edge(
        self, name: str, ip: str, zone: str, directory: pathlib.Path
    ) -> Edge:
        peers_address = f'{ip}:{PEERS_PORT}'
        peers = proxy.Link(peers_address)
        self.store.link_addresses[peers_address] = peers.address
        view = standins.StoreView(self.store)
        return Edge(
            name,
            ip,
            zone,
            directory,
            callers=proxy.Link(f'{ip}:{CALLERS_PORT}'),
            peers=peers,
            store=proxy.Link(view.address),
            view=view,
        )


def _loopback_network() -> str:
    """Return a /24 loopback prefix that no other soak test uses."""
    first, rest = divmod(os.getpid(), 250 * 250)
    second, third = divmod(rest, 250)
    network = f'127.{10 + first * 100 + second % 100}.{third}'
    with socket.create_server((f'{network}.1', CALLERS_PORT)):
        return network
