"""Coordination components of many hosts, stepped in virtual time."""

import heapq
import itertools
import random

import attrs

from godwitglade.common import codec
from godwitglade.coordination import change_rows
from godwitglade.coordination import document_replication
from godwitglade.coordination import effects
from godwitglade.coordination import facts
from godwitglade.coordination import hosts
from godwitglade.coordination import membership
from godwitglade.coordination import messages
from godwitglade.coordination import patches
from godwitglade.coordination import rows

LATENCY_MS = 2


@attrs.define
class Store:
    """The part of the platform's table and objects that documents need."""

    changes: list[change_rows.ChangeRow] = attrs.Factory(list)
    documents: dict[str, rows.Row] = attrs.Factory(dict)
    objects: dict[str, bytes] = attrs.Factory(dict)
    read_count: int = 0
    is_down: bool = False

    def change(
        self,
        pipeline: str,
        text: str | None,
        patch: patches.Patch | None = None,
    ) -> int:
        """Accept a change and return its sequence number."""
        current = self.documents.get(pipeline)
        version = current.version + 1 if current else 1
        sequence = len(self.changes) + 1
        document = change_rows.DocumentRow(version, sequence, '', text)
        value = codec.to_plain(document)
        key = change_rows.document_key(pipeline)
        self.documents[pipeline] = rows.Row(key, version, value)
        recorded_text = text if patch is None else None
        self.changes.append(
            change_rows.ChangeRow(
                sequence, pipeline, version, '', recorded_text, patch
            )
        )
        return sequence

    def read(
        self, effect: effects.ReadRows | effects.ScanRows
    ) -> rows.ReadResult:
        """Return the result of a scan or of a read of the head row."""
        self.read_count += 1
        if self.is_down:
            return rows.Unavailable()
        if isinstance(effect, effects.ReadRows):
            return rows.Rows(self._head())
        all_rows = self._table(effect.table)
        after = [row for row in all_rows if row.key.key > effect.after]
        return rows.Rows(tuple(after[: effect.limit]))

    def _head(self) -> tuple[rows.Row, ...]:
        count = len(self.changes)
        value = {'sequence': count}
        return (rows.Row(change_rows.HEAD_KEY, count, value),) * bool(count)

    def _table(self, table: str) -> list[rows.Row]:
        if table == 'documents':
            return sorted(self.documents.values(), key=lambda r: r.key.key)
        return [
            rows.Row(
                change_rows.sequence_key(table, change.sequence),
                1,
                codec.to_plain(change),
            )
            for change in self.changes
        ]


class Node:
    """The components of a host; ``versions`` holds the newest by pipeline."""

    def __init__(self, host: hosts.HostId, fleet: 'Fleet') -> None:
        self.host = host
        self.address = f'{host.name}:1'
        self.is_up = True
        self.versions: dict[str, int] = {}
        self.documents = document_replication.Documents(host, fleet.random)
        self.facts = facts.Facts(host, fleet.random)
        self.members = membership.Membership(
            host,
            self.address,
            fleet.random,
            (self.documents, self.facts),
        )
        self.components = (self.documents, self.facts, self.members)

    def record_version(self, changed: messages.DocumentChanged) -> None:
        """Record a version; fails unless it is newer than the last one."""
        assert changed.version > self.versions.get(changed.pipeline, 0)
        self.versions[changed.pipeline] = changed.version


class Fleet:
    """Hosts in zones with message loss, partitions and restarts.

    Zones in ``partitioned_zones`` are partitioned from the other zones, those
    in ``zones_without_store`` from the store.
    """

    def __init__(
        self,
        host_count: int,
        zone_count: int,
        loss: float = 0.0,
        seed: int = 1,
    ) -> None:
        self.random = random.Random(seed)
        self.loss = loss
        self.now_ms = 0
        self.store = Store()
        self.partitioned_zones: set[str] = set()
        self.zones_without_store: set[str] = set()
        self.delivered: list = []
        self.on_message = lambda kind, body: None
        self.nodes: dict[str, Node] = {}
        self._events: list = []
        self._event_numbers = itertools.count()
        self._entries = [
            membership.HostEntry(f'h{i}', f'z{i % zone_count}', f'h{i}:1')
            for i in range(host_count)
        ]
        for entry in self._entries:
            self.start(entry.name)

    def start(self, name: str) -> Node:
        """Start a host, or a new incarnation of it."""
        entry = next(each for each in self._entries if each.name == name)
        previous = self.nodes.get(name)
        incarnation = previous.host.incarnation + 1 if previous else 1
        node = Node(hosts.HostId(name, entry.zone, incarnation), self)
        self.nodes[name] = node
        node.members.add_entries(self._entries, self.now_ms)
        for component in node.components:
            self.carry_out(node, component.start(self.now_ms))
        return node

    def stop(self, name: str) -> None:
        """Stop a host without notifying the others."""
        self.nodes[name].is_up = False

    def run(self, duration_ms: int, until=None) -> int:
        """Step until ``until()`` is true or the time is over.

        Returns the virtual time that passed in milliseconds.
        """
        start_ms = self.now_ms
        while self._events and self._events[0][0] <= start_ms + duration_ms:
            self.now_ms, _, node, message = heapq.heappop(self._events)
            if node.is_up:
                self._deliver(node, message)
            if until is not None and until():
                return self.now_ms - start_ms
        self.now_ms = start_ms + duration_ms
        return duration_ms

    def running_nodes(self) -> list[Node]:
        """Return the running hosts."""
        return [node for node in self.nodes.values() if node.is_up]

    def count_in_force(self, sequence: int) -> int:
        """Return the number of running hosts that applied ``sequence``."""
        return sum(
            node.documents.is_ready and node.documents.sequence >= sequence
            for node in self.running_nodes()
        )

    def await_in_force(self, sequence: int, limit_ms: int) -> int:
        """Step until all running hosts applied ``sequence``.

        Returns the virtual time that passed in milliseconds.
        """
        self._pending_nodes = self.running_nodes()

        def is_everywhere() -> bool:
            while self._pending_nodes:
                documents = self._pending_nodes[-1].documents
                if documents.sequence < sequence:
                    return False
                self._pending_nodes.pop()
            return True

        return self.run(limit_ms, is_everywhere)

    def change_by_patch(self, pipeline: str, old: str, new: str) -> int:
        """Accept a change that is recorded as a patch, as `changes` does."""
        patch = patches.make(old, new) if old else None
        return self.store.change(pipeline, new, patch)

    def carry_out(self, node: Node, requested: list) -> None:
        """Carry out the effects that a component of ``node`` requested."""
        for effect in requested:
            self._carry_out_effect(node, effect)

    def _deliver(self, node: Node, message: object) -> None:
        if isinstance(message, messages.DocumentChanged):
            node.record_version(message)
        for component in node.components:
            self.carry_out(node, component.handle(message, self.now_ms))

    def _carry_out_effect(self, node: Node, effect: object) -> None:
        match effect:
            case effects.StartTimer(token, due_ms):
                self._post(node, messages.TimerFired(token), due_ms)
            case effects.SendPeer():
                self._send(node, effect)
            case effects.ReplyPeer(reply_token, body):
                self._reply(node, reply_token, body)
            case effects.ReadRows() | effects.ScanRows():
                result = rows.Unavailable()
                if node.host.zone not in self.zones_without_store:
                    result = self.store.read(effect)
                message = messages.ReadSettled(effect.token, result)
                self._post(node, message, self.now_ms + LATENCY_MS)
            case effects.ReadObject(token, name):
                content = self.store.objects.get(name)
                message = messages.ObjectRead(token, content)
                self._post(node, message, self.now_ms + LATENCY_MS)
            case effects.WriteObject(name, content):
                self.store.objects[name] = content
            case effects.Deliver(message):
                self.delivered.append((node.host.name, message))
                self._deliver(node, message)

    def _send(self, node: Node, effect: effects.SendPeer) -> None:
        self.on_message('request', effect.body)
        target = self.nodes.get(effect.address.split(':')[0])
        lost = messages.PeerReply(effect.token, None)
        if target is None or not self._reaches(node, target):
            self._post(node, lost, self.now_ms + effect.timeout_ms)
            return
        token = f'{node.host.name}|{node.host.incarnation}|{effect.token}'
        message = messages.PeerMessage(node.host, effect.body, token)
        self._post(target, message, self.now_ms + LATENCY_MS)

    def _reply(self, node: Node, reply_token: str, body: object) -> None:
        self.on_message('reply', body)
        name, incarnation, token = reply_token.split('|')
        requester = self.nodes[name]
        if requester.host.incarnation != int(incarnation):
            return
        if not self._reaches(node, requester):
            body = None
        delay_ms = LATENCY_MS if body is not None else 1_000
        message = messages.PeerReply(token, body)
        self._post(requester, message, self.now_ms + delay_ms)

    def _reaches(self, sender: Node, receiver: Node) -> bool:
        is_cut = sender.host.zone != receiver.host.zone and (
            {sender.host.zone, receiver.host.zone} & self.partitioned_zones
        )
        is_lost = self.random.random() < self.loss
        return receiver.is_up and not is_cut and not is_lost

    def _post(self, node: Node, message: object, due_ms: int) -> None:
        event = (due_ms, next(self._event_numbers), node, message)
        heapq.heappush(self._events, event)
