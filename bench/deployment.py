"""A small deployment on loopback: platform, targets and entry daemons."""

import hashlib
import json
import os
import pathlib
import typing
import uuid

import attrs
import urllib3

from bench import processes

SECRET = 'a secret that all hosts share'
#: Tokens by owner: text, role and team.
TOKENS = {
    'amina': ('amina-token', 'operator', 'onboarding'),
    'tomas': ('tomas-token', 'operator', 'touchline'),
    'watch': ('watch-token', 'monitor', ''),
}
REQUEST_TIMEOUT_S = 90


class ChangeRefusedError(Exception):
    """The operators' interface refused a document."""


@attrs.frozen
class Answer:
    """A caller's response: status, fields of the outcome, streamed pieces."""

    status: int
    fields: dict[str, typing.Any]
    pieces: tuple[dict[str, typing.Any], ...] = ()

    @property
    def outcome(self) -> str:
        """Return the outcome's code."""
        return self.fields.get('outcome', '')

    @property
    def text(self) -> str:
        """Return the streamed text."""
        return ''.join(piece['text'] for piece in self.pieces)


@attrs.define
class Target:
    """A target's process and the fields of its host list entry."""

    name: str
    pool: str
    zone: str
    process: processes.StandInProcess
    state: str = 'live'

    def host_list_entry(self) -> dict[str, str]:
        """Return the entry of the host list."""
        return {
            'name': self.name,
            'role': 'target',
            'pool': self.pool,
            'zone': self.zone,
            'address': self.process.address,
            'state': self.state,
        }


@attrs.define
class Entry:
    """An entry daemon's process and the addresses of its listeners."""

    name: str
    zone: str
    process: processes.Process
    callers: str
    operators: str
    peers: str

    def host_list_entry(self) -> dict[str, str]:
        """Return the entry of the host list."""
        return {
            'name': self.name,
            'role': 'entry',
            'zone': self.zone,
            'address': self.peers,
            'state': 'live',
        }

    def is_ready(self) -> bool:
        """Tell whether the daemon accepts requests."""
        url = f'http://{self.callers}/readyz'
        try:
            return processes.http.request('GET', url).status == 200
        except urllib3.exceptions.HTTPError:
            return False

    def request(
        self,
        pipeline: str,
        workspace: str,
        payload: typing.Any,
        key: str | None = None,
        deadline_ms: int | None = None,
    ) -> Answer:
        """Send a request and return its outcome."""
        headers = _headers(workspace, key, deadline_ms)
        response = processes.http.request(
            'POST',
            self._requests_url(pipeline),
            body=json.dumps(payload),
            headers=headers,
            timeout=REQUEST_TIMEOUT_S,
        )
        return Answer(response.status, response.json())

    def stream(
        self,
        pipeline: str,
        workspace: str,
        payload: typing.Any,
        on_piece: typing.Callable[[dict], None] = lambda piece: None,
    ) -> Answer:
        """Send a request and call ``on_piece`` with each piece on arrival."""
        headers = _headers(workspace, None, None)
        response = processes.http.request(
            'POST',
            self._requests_url(pipeline),
            body=json.dumps(payload),
            headers={**headers, 'Accept': 'text/event-stream'},
            timeout=REQUEST_TIMEOUT_S,
            preload_content=False,
        )
        if 'event-stream' not in response.headers.get('Content-Type', ''):
            return Answer(response.status, json.loads(response.read()))
        pieces = []
        fields: dict[str, typing.Any] = {}
        for kind, data in read_events(response):
            if kind == 'piece':
                pieces.append(data)
                on_piece(data)
            else:
                fields = data
        response.release_conn()
        return Answer(response.status, fields, tuple(pieces))

    def apply(self, owner: str, document: dict[str, typing.Any]) -> None:
        """Apply a new document as ``owner``; raises ChangeRefusedError."""
        url = f'http://{self.operators}/v1/documents/{document["pipeline"]}'
        change = {
            'based_on': 0,
            'change_id': str(uuid.uuid4()),
            # JSON is YAML.
            'text': json.dumps(document),
        }
        response = processes.http.request(
            'PUT',
            url,
            json=change,
            headers={'Authorization': f'Bearer {TOKENS[owner][0]}'},
        )
        if response.status != 200:
            raise ChangeRefusedError(response.status, response.data)

    def get_outcome(
        self, pipeline: str, workspace: str, key: str
    ) -> dict[str, typing.Any]:
        """Return the outcome of an earlier request by its key."""
        url = f'http://{self.callers}/v1/pipelines/{pipeline}/outcomes/{key}'
        headers = _headers(workspace, None, None)
        return processes.http.request('GET', url, headers=headers).json()

    def _requests_url(self, pipeline: str) -> str:
        return f'http://{self.callers}/v1/pipelines/{pipeline}/requests'


def read_events(
    response: urllib3.BaseHTTPResponse,
) -> typing.Iterator[tuple[str, dict[str, typing.Any]]]:
    """Yield kind and data of each server-sent event as it arrives."""
    kind = ''
    rest = b''
    while chunk := response.read1(65_536):
        *lines, rest = (rest + chunk).split(b'\n')
        for line in lines:
            name, _, value = line.partition(b':')
            if name == b'event':
                kind = value.strip().decode()
            elif name == b'data':
                yield kind, json.loads(value)


class Deployment:
    """Starts the platform, targets and daemons; `close` stops them."""

    daemon_module = 'godwitglade.daemon'

    def __init__(self, directory: pathlib.Path) -> None:
        self._directory = directory
        self.table = processes.StandInProcess('table')
        self.objects = processes.StandInProcess('objects')
        self.hosts = processes.StandInProcess('host_list')
        self.targets: dict[str, Target] = {}
        self.entries: dict[str, Entry] = {}

    def add_target(
        self,
        name: str,
        pool: str,
        zone: str,
        kind: str = 'pool',
        **options: typing.Any,
    ) -> Target:
        """Start a target; `publish` adds it to the host list."""
        process = processes.StandInProcess(kind, **options)
        self.targets[name] = Target(name, pool, zone, process)
        return self.targets[name]

    def add_entry(self, name: str, zone: str, **settings: typing.Any) -> Entry:
        """Start an entry daemon."""
        addresses = [processes.free_address() for _ in range(3)]
        path = self._directory / f'{name}.yaml'
        plain = self._settings(name, zone, addresses)
        # JSON is YAML.
        path.write_text(json.dumps({**plain, **settings}, indent=2))
        process = processes.Process(
            self.daemon_module,
            '--settings',
            str(path),
            environment={**os.environ, 'GODWITGLADE_SECRET': SECRET},
            log_path=self._directory / f'{name}.log',
        )
        self.entries[name] = Entry(name, zone, process, *addresses)
        return self.entries[name]

    def publish(self) -> None:
        """Write the host list."""
        listed = [*self.targets.values(), *self.entries.values()]
        entries = [member.host_list_entry() for member in listed]
        self.hosts.put('/v1/hosts', {'hosts': entries})

    def await_ready(self) -> None:
        """Wait until every running daemon accepts requests."""
        for entry in self.entries.values():
            if entry.process.is_running:
                processes.await_condition(
                    entry.is_ready, f'{entry.name} is not ready'
                )

    def runs(self, pool: str) -> list[dict[str, typing.Any]]:
        """Return the runs recorded by the running targets of a pool."""
        return [
            run
            for target in self.targets.values()
            if target.pool == pool and target.process.is_running
            for run in target.process.get('/v1/runs')['runs']
        ]

    def close(self) -> None:
        """Stop every process that this deployment started."""
        members = [*self.entries.values(), *self.targets.values()]
        started = [member.process for member in members]
        platform = [self.table, self.objects, self.hosts]
        for process in [*started, *platform]:
            process.close()

    def _settings(
        self, name: str, zone: str, addresses: list[str]
    ) -> dict[str, typing.Any]:
        callers, operators, peers = addresses
        return {
            'host': name,
            'zone': zone,
            'callers': {'address': callers},
            'operators': {'address': operators},
            'peers': {'address': peers},
            'platform': {
                'table_url': self.table.url,
                'objects_url': self.objects.url,
                'host_list_url': self.hosts.url,
            },
            'secret': {'variable': 'GODWITGLADE_SECRET'},
            'tokens': [
                _token_settings(owner, *parts)
                for owner, parts in TOKENS.items()
            ],
        }


def _token_settings(
    owner: str, text: str, role: str, team: str
) -> dict[str, str]:
    digest = hashlib.sha256(text.encode()).hexdigest()
    fields = {'name': owner, 'role': role, 'sha256': digest}
    return {**fields, 'team': team} if team else fields


def _headers(
    workspace: str, key: str | None, deadline_ms: int | None
) -> dict[str, str]:
    headers = {
        'X-Workspace': workspace,
        'Idempotency-Key': key,
        'X-Deadline-Ms': deadline_ms and str(deadline_ms),
    }
    return {name: value for name, value in headers.items() if value}
