"""Replays traces of the claim specification on the real claims."""

import random
import typing

from godwitglade.coordination import claim_rows
from proof import claim_simulation
from proof import claim_spec

#: Pause that moves a host's clock so near to the deadline that a retry no
#: longer claims but writes not_run.
NEAR_DEADLINE_MS = claim_simulation.SEND_BY_MS - 100

#: Class names of verdicts by their names in the specification.
VERDICTS = {
    '': '',
    'granted': 'Granted',
    'done': 'Done',
    'held': 'HeldElsewhere',
    'not_run': 'NotRun',
    'undecided': 'Undecided',
}


class View(typing.NamedTuple):
    """State on which the specification and the real objects must agree.

    ``hosts`` has for each host the verdict, whether it may send, how often
    it sent, and the state and condition of its write in flight.
    """

    row: tuple
    hosts: tuple


def random_trace(
    protocol, random_source: random.Random, length: int
) -> typing.Iterator[tuple[str, claim_spec.State]]:
    """Yield the labels and states of a random trace of ``protocol``."""
    state = protocol.initial
    for _ in range(length):
        steps = protocol.transitions(state)
        if not steps:
            return
        label, state = random_source.choice(steps)
        yield label, state


def take_step(
    simulation: claim_simulation.ClaimSimulation, label: str
) -> None:
    """Perform the specification's step ``label`` in ``simulation``."""
    name, host, *rest = label.split()
    _STEPS[name](simulation, int(host), *rest)


def view_of_simulation(simulation: claim_simulation.ClaimSimulation) -> View:
    """Return the view of the real objects."""
    content = simulation.row()
    row = ('absent', -1, 0)
    if content is not None:
        version = simulation.table.version(
            claim_rows.row_key(claim_simulation.KEY)
        )
        owner = int(content.owner.name.removeprefix('host-'))
        row = (content.state.value, owner, version)
    return View(
        row, tuple(_host_view(simulation, h) for h in simulation.hosts)
    )


def view_of_state(state: claim_spec.State) -> View:
    """Return the view of the specification's state."""
    machine = claim_spec.Machine(len(state.hosts), claim_spec.Rules())
    views = tuple(
        (
            VERDICTS[host.verdict],
            host.step != 'down' and machine.may_send(host),
            host.sent,
            _describe_spec_write(host),
        )
        for host in state.hosts
    )
    return View(tuple(state.row), views)


def _describe_spec_write(host: claim_spec.Host) -> tuple | None:
    if host.step not in claim_spec.WRITTEN:
        return None
    return (claim_spec.WRITTEN[host.step], host.base)


def _host_view(
    simulation: claim_simulation.ClaimSimulation,
    state: claim_simulation.HostState,
) -> tuple:
    index = simulation.hosts.index(state)
    may_send = not state.sent and state.claims.may_send(
        claim_simulation.KEY, state.nonce, simulation.local_ms(index)
    )
    pending = _describe_write(state.writes[0]) if state.writes else None
    name = state.verdict
    return (name, may_send and not state.is_down, len(state.sent), pending)


def _describe_write(effect) -> tuple:
    transaction = effect.transaction
    state = transaction.writes[0].value['state']
    return (state, transaction.conditions[0].version)


def _apply_lingering_write(
    simulation: claim_simulation.ClaimSimulation,
    host: int,
    written: str,
    base: str,
) -> None:
    expected = (written, int(base))
    lingering = simulation.hosts[host].lingering
    pending = next(w for w in lingering if _describe_write(w) == expected)
    simulation.table.apply(pending.transaction)


def _expire(simulation: claim_simulation.ClaimSimulation, host: int) -> None:
    simulation.pause(host, claim_simulation.SEND_BY_MS - NEAR_DEADLINE_MS + 1)
    simulation.fire(host, is_deadline=True)


_STEPS = {
    'claim': claim_simulation.ClaimSimulation.claim,
    'answer': claim_simulation.ClaimSimulation.answer_write,
    'lose_answer': claim_simulation.ClaimSimulation.lose_answer,
    'delay_write': claim_simulation.ClaimSimulation.delay_write,
    'refuse_write': claim_simulation.ClaimSimulation.refuse_write,
    'retry': lambda simulation, host: simulation.fire(host, is_deadline=False),
    'near': lambda simulation, host: simulation.pause(host, NEAR_DEADLINE_MS),
    'expire': _expire,
    'send': claim_simulation.ClaimSimulation.send,
    'settle': claim_simulation.ClaimSimulation.settle,
    'release': claim_simulation.ClaimSimulation.release,
    'crash': claim_simulation.ClaimSimulation.crash,
    # Applies a write that was still in flight, late.
    'land': _apply_lingering_write,
}
