"""Store and targets of the soak; each response names its request."""

import collections
import itertools
import random
import re
import threading
import time
import typing

import attrs

from bench.soak import answers
from bench.soak import proxy
from bench.standins import edge_platform
from godwitglade.common import codec

EVENT_COUNT = 6
EVENT_PAUSE_S = 0.02
RUN_DURATION_S = 0.02
MAX_SLACK_S = 0.2
CRASH_DELAY_S = 0.08
#: Share of crashes after which the kernel closes and resets nothing.
FIN_SHARE = 0.5


@attrs.frozen
class Run:
    """A request that reached a target; ``has_run`` is False if refused.

    ``parts`` are those of its prompt, without the last, and its path.
    """

    attempt_id: str
    target: str
    pool: str
    at_s: float
    has_run: bool
    parts: tuple[str, ...] = ()


class Store(edge_platform.Store):
    """A store that can be slow or lose replies.

    ``link_addresses`` maps the address that a host registers to the address of
    its link, which the store records instead.
    """

    def __init__(self) -> None:
        self.delay_s = 0.0
        self.loses_answers = False
        self.link_addresses: dict[str, str] = {}
        self.views: list[StoreView] = []
        self._lock = threading.Lock()
        super().__init__()

    def answer(self, request: edge_platform.Request) -> typing.Any:
        """Return the reply to a call."""
        time.sleep(self.delay_s)
        reply = super().answer(request)
        return None if self.loses_answers else reply

    def _write(self, table: str, key: str, value: str) -> None:
        with self._lock:
            super()._write(table, key, self._with_link_address(table, value))

    def _with_link_address(self, table: str, value: str) -> str:
        if table != 'hosts':
            return value
        plain = codec.parse_json(edge_platform.decode(value))
        plain['address'] = self.link_addresses.get(
            plain['address'], plain['address']
        )
        return edge_platform.encode(codec.to_json(plain))


#: Links of all hosts by the address of the target.
LINKS_BY_TARGET: dict[str, list[proxy.Link]] = collections.defaultdict(list)


class StoreView(edge_platform.Server):
    """The store as one host sees it, with links of its own to the targets.

    ``mode`` is that of all these links.
    """

    def __init__(self, store: Store) -> None:
        self._store = store
        self._links: dict[str, proxy.Link] = {}
        self._mode = proxy.Mode.PASS
        self._lock = threading.Lock()
        super().__init__()

    @property
    def mode(self) -> proxy.Mode:
        """Return the mode of the links between this host and the targets."""
        return self._mode

    @mode.setter
    def mode(self, mode: proxy.Mode) -> None:
        with self._lock:
            self._mode = mode
            for link in self._links.values():
                link.mode = mode

    def answer(self, request: edge_platform.Request) -> typing.Any:
        """Return the store's reply, with the addresses of the links."""
        reply = self._store.answer(request)
        if reply is None or request.query.get('table') != 'servers':
            return reply
        head, _, body = reply.partition(b'\r\n\r\n')
        if not body:
            return reply
        plain = codec.parse_json(body)
        for row in plain['rows']:
            if 'value' in row:
                row['value'] = self._with_link(row['value'])
        lines = head.decode('latin-1').split('\r\n')[1:]
        fields = dict(line.split(': ', 1) for line in lines)
        del fields['Content-Length']
        return edge_platform.response(200, fields, codec.to_json(plain))

    def _with_link(self, value: str) -> str:
        entry = codec.parse_json(edge_platform.decode(value))
        address = entry['address']
        with self._lock:
            if address not in self._links:
                link = self._links[address] = proxy.Link(address)
                link.mode = self._mode
                LINKS_BY_TARGET[address].append(link)
            entry['address'] = self._links[address].address
        return edge_platform.encode(codec.to_json(entry))


class Target(edge_platform.Target):
    """A target behind a link; responses contain the request's attempt id."""

    ip = proxy.IP

    def __init__(
        self, name: str, pool: str, zone: str, version: str = 'v1'
    ) -> None:
        self.version = version
        self.recorded_runs: list[Run] = []
        self.bad_parts: frozenset[str] = frozenset()
        self.crashed_s: float | None = None
        self.crashed_by: frozenset[str] = frozenset()
        self.draining_since_s: float | None = None
        self.breaking_share = 0.0
        self.slow_share = 0.0
        self.copied_share = 0.0
        self.is_down = False
        self.rng = random.Random(name)
        super().__init__(name, pool, zone)
        self.link = proxy.Link(self.address)

    def entry(self, **fields: typing.Any) -> dict[str, typing.Any]:
        """Return the store entry with the address of the link."""
        own = {'address': self.link.address, 'version': self.version}
        return super().entry(**{**own, **fields})

    def answer(self, request: edge_platform.Request) -> typing.Any:
        """Return the response to a call, recording the run."""
        expected = request.headers.get('X-Expect-Instance', self.name)
        if request.path.startswith('/api/') or expected != self.name:
            return super().answer(request)
        behaviour = self.behaviours[0]
        self.recorded_runs.append(
            Run(
                request.attempt_id,
                self.name,
                self.pool,
                time.monotonic(),
                behaviour != 'not_run',
                parts_of(request),
            )
        )
        if self.bad_parts & set(parts_of(request)):
            return self._crash(request)
        if behaviour == 'ok':
            return self._answer(request)
        return super().answer(request)

    @property
    def _links(self) -> list[proxy.Link]:
        return [self.link, *LINKS_BY_TARGET[self.link.address]]

    def end(self) -> None:
        """End as a process does that has read all bytes."""
        self.is_down = True
        for link in self._links:
            link.refuse()
        self.exit()

    def come_back(self) -> None:
        """Listen at the same address again, after `end`."""
        self.restart()
        for link in self._links:
            link.accept()
        self.is_down = False

    def _crash(self, request: edge_platform.Request) -> typing.Iterator[bytes]:
        if self.pool == 'engine':
            head = edge_platform.head_of_stream(self, request)
            framing = b'Transfer-Encoding: chunked\r\n'
            yield self.rng.choice((head, head.replace(framing, b'')))
        time.sleep(CRASH_DELAY_S)
        if self.crashed_s is None:
            self.crashed_s = time.monotonic()
            self.crashed_by = self.bad_parts & set(parts_of(request))
            if self.rng.random() < FIN_SHARE:
                self.end()
                return
            # Connections are refused from now on.
            for link in self._links:
                link.close()
            self.crash()
        else:
            # The process ends, which closes this connection, too.
            time.sleep(1)

    def _answer(self, request: edge_platform.Request) -> answers.Answer:
        rng = self.rng
        headers = self.headers(request)
        is_broken = rng.random() < self.breaking_share
        pause_s = 0.0
        if self.pool == 'engine':
            headers['Content-Type'] = 'text/event-stream'
            first = int(request.headers.get('Last-Event-Id') or 0) + 1
            numbers = range(first, EVENT_COUNT + 1)
            parts = [
                event(request.attempt_id, number, self.version)
                for number in numbers[: 2 if is_broken else None]
            ]
            shares, pause_s = answers.STREAM_FRAMINGS, EVENT_PAUSE_S
        else:
            # Longer runs, so that copies meet the answer after theirs.
            slack_s = rng.uniform(0, MAX_SLACK_S) if self.copied_share else 0.0
            time.sleep(RUN_DURATION_S + slack_s)
            parts = answers.to_parts(response_body(request.attempt_id))
            shares = answers.PLAIN_FRAMINGS
        framing = answers.draw_framing(rng, shares)
        if rng.random() < self.slow_share:
            pause_s += rng.choice(answers.SLOW_S) / max(1, len(parts))
        elif framing == 'connection':
            pause_s = EVENT_PAUSE_S
        is_copied = rng.random() < self.copied_share
        return answers.Answer(
            headers,
            parts,
            # Nobody can tell that an answer without framing broke off.
            'chunks' if is_broken else framing,
            rng,
            pause_s,
            is_copied,
            not is_broken,
        )


def parts_of(request: edge_platform.Request) -> tuple[str, ...]:
    """Return the parts of a request's prompt, without the last, and its path.

    Requests with the same path are copies of one another.
    """
    entries = request.headers.get('X-Prefix-Hash', '').split(',')
    parts = (entry.partition(':')[0] for entry in entries[:-1])
    return (*parts, request.path)


def response_body(attempt_id: str) -> bytes:
    """Return the response body of a request that is not a stream."""
    return f'answer to {attempt_id}'.encode() * 20


def event(attempt_id: str, number: int, version: str) -> bytes:
    """Return one event of a request's stream."""
    data = f'{attempt_id} {number} {version}'
    return f'id: {number}\ndata: {data}\n\n'.encode()


def versions_in(body: bytes) -> list[str]:
    """Return the version of each complete event."""
    return [v.decode() for v in re.findall(rb' (v\d+)\n\n', body)]


def stream_body(
    attempt_id: str, last_event_id: int, versions: list[str]
) -> bytes:
    """Return the events of a request's stream after one of them.

    ``versions`` are those of its first events; the rest has the last one.
    """
    numbers = range(last_event_id + 1, EVENT_COUNT + 1)
    rest = itertools.repeat(versions[-1] if versions else 'v1')
    return b''.join(
        event(attempt_id, number, version)
        for number, version in zip(numbers, itertools.chain(versions, rest))
    )
