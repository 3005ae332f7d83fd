"""Replays traces of the claim specification on the real claims."""

import random
import typing

from godwitglade.coordination import claim_rows
from proof import claim_spec
from proof import claim_world

#: Inside the time in which a claim is only given up.
MARGIN_MS = claim_world.SEND_BY_MS - 100

VERDICTS = {
    '': '',
    'granted': 'Granted',
    'done': 'Done',
    'held': 'HeldElsewhere',
    'not_run': 'NotRun',
    'undecided': 'Undecided',
}


class View(typing.NamedTuple):
    """What the specification and the real objects must agree on.

    ``hosts`` holds a verdict, whether the host may send, how often it did,
    and the state and condition of its write in flight.
    """

    row: tuple
    hosts: tuple


def walk(
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


def take_step(world: claim_world.ClaimWorld, label: str) -> None:
    """Do in ``world`` what the specification's step ``label`` says."""
    name, host, *rest = label.split()
    _STEPS[name](world, int(host), *rest)


def view_of_world(world: claim_world.ClaimWorld) -> View:
    """Return what the real objects show."""
    content = world.row()
    row = ('absent', -1, 0)
    if content is not None:
        version = world.table.version(claim_rows.row_key(claim_world.KEY))
        owner = int(content.owner.name.removeprefix('host-'))
        row = (content.state.value, owner, version)
    return View(row, tuple(_host_view(world, h) for h in world.hosts))


def view_of_state(state: claim_spec.State) -> View:
    """Return what the specification's state shows."""
    machine = claim_spec.Machine(len(state.hosts), claim_spec.Rules())
    views = tuple(
        (
            VERDICTS[host.verdict],
            host.step != 'down' and machine.may_send(host),
            host.sent,
            _write_in_spec(host),
        )
        for host in state.hosts
    )
    return View(tuple(state.row), views)


def _write_in_spec(host: claim_spec.Host) -> tuple | None:
    if host.step not in claim_spec.WRITTEN:
        return None
    return (claim_spec.WRITTEN[host.step], host.base)


def _host_view(
    world: claim_world.ClaimWorld, state: claim_world.HostState
) -> tuple:
    index = world.hosts.index(state)
    may_send = not state.sent and state.claims.may_send(
        claim_world.KEY, state.nonce, world.local_ms(index)
    )
    pending = _write_of(state.writes[0]) if state.writes else None
    name = state.verdict
    return (name, may_send and not state.is_down, len(state.sent), pending)


def _write_of(effect) -> tuple:
    transaction = effect.transaction
    state = transaction.writes[0].value['state']
    return (state, transaction.conditions[0].version)


def _land(
    world: claim_world.ClaimWorld, host: int, written: str, base: str
) -> None:
    wanted = (written, int(base))
    lingering = world.hosts[host].lingering
    pending = next(w for w in lingering if _write_of(w) == wanted)
    world.table.apply(pending.transaction)


def _expire(world: claim_world.ClaimWorld, host: int) -> None:
    world.pause(host, claim_world.SEND_BY_MS - MARGIN_MS + 1)
    world.fire(host, is_deadline=True)


_STEPS = {
    'claim': claim_world.ClaimWorld.claim,
    'answer': claim_world.ClaimWorld.answer_write,
    'lose_answer': claim_world.ClaimWorld.lose_answer,
    'delay_write': claim_world.ClaimWorld.delay_write,
    'refuse_write': claim_world.ClaimWorld.refuse_write,
    'retry': lambda world, host: world.fire(host, is_deadline=False),
    'near': lambda world, host: world.pause(host, MARGIN_MS),
    'expire': _expire,
    'send': claim_world.ClaimWorld.send,
    'settle': claim_world.ClaimWorld.settle,
    'release': claim_world.ClaimWorld.release,
    'crash': claim_world.ClaimWorld.crash,
    'land': _land,
}
