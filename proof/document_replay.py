"""Replays traces of the document specification on the real documents."""

import random

from godwitglade.coordination import bodies
from godwitglade.coordination import change_log_head
from godwitglade.coordination import document_replication
from godwitglade.coordination import hosts
from godwitglade.coordination import messages
from godwitglade.coordination import rows
from proof import document_spec

PIPELINE = 'pipeline'


class Replay:
    """Real documents of several hosts that replay a specification's trace."""

    def __init__(self, count: int) -> None:
        self.log: list[bodies.Change] = []
        self.documents = [
            document_replication.Documents(
                _host_id(index), random.Random(index)
            )
            for index in range(count)
        ]
        empty = messages.ReadSettled(change_log_head.TOKEN, rows.Rows())
        for documents in self.documents:
            documents.handle(empty, 0)

    def take_step(self, label: str, state: document_spec.State) -> None:
        """Perform the step ``label``, which led to ``state``, on the hosts."""
        while len(self.log) < len(state.log):
            number = len(self.log) + 1
            change = bodies.Change(number, PIPELINE, number, f'text {number}')
            self.log.append(change)
        name, *rest = label.split()
        if name == 'hear':
            self._receive(int(rest[0]), int(rest[1]))
        if name == 'poll':
            self._receive(int(rest[0]), len(self.log))

    def in_force(self) -> list[int]:
        """Return the change number in force on each host."""
        return [documents.sequence for documents in self.documents]

    def _receive(self, index: int, number: int) -> None:
        sender = bodies.MemberRecord(_host_id(99), 'address')
        changes = tuple(self.log[:number])
        exchange = bodies.Exchange(sender, number, changes=changes)
        self.documents[index].receive(exchange, 0)


def _host_id(index: int) -> hosts.HostId:
    return hosts.HostId(f'host-{index}', 'zone-a', 1)
