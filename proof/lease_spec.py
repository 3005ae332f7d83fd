"""Specification of leases with fencing numbers for orders to engines.

Two hosts compete for one engine. A lease has three phases, which its holder's
clock passes even while the holder is paused: it may send orders, it stops
sending, the lease has ended. A new holder's number is higher by one. Orders
stay on the network until the new holder has waited for all older ones.
"""

import typing

import minicheck

from proof import specs

HELD, STOPPED, ENDED = 'held', 'stopped', 'ended'
MAX_NUMBER = 3


class Host(typing.NamedTuple):
    """One host; ``number`` is that of its lease, 0 for none."""

    number: int = 0
    phase: str = ENDED
    has_waited: bool = False


class State(typing.NamedTuple):
    """The lease row's number, orders in flight and the last one applied."""

    number: int
    hosts: tuple[Host, ...]
    orders: frozenset
    applied: int
    has_reverted: bool


class Rules(typing.NamedTuple):
    """Rules of the protocol.

    With ``checks`` the engine refuses orders with old numbers.
    """

    checks: bool
    stops_early: bool = True
    waits: bool = True
    awaits_end: bool = True


class Machine:
    """The transitions under ``rules``."""

    def __init__(self, rules: Rules) -> None:
        self.rules = rules

    def transitions(self, state: State) -> list[tuple[str, State]]:
        """Return every possible next step, as label and next state."""
        steps = [
            (f'{name} {index}', next_state)
            for index in range(len(state.hosts))
            for name, next_state in self._host_steps(state, index)
        ]
        steps += [
            (f'deliver {number}', self._delivered(state, number))
            for number in state.orders
        ]
        return steps

    def _host_steps(self, state: State, index: int) -> list:
        host = state.hosts[index]
        steps = []
        if self._may_acquire(state, index):
            steps.append(('take', self._acquired(state, index)))
        if not host.number:
            return steps
        if host.phase == HELD:
            steps.append(('stop', _with_host(state, index, phase=STOPPED)))
        if host.phase == STOPPED:
            steps.append(('end', _with_host(state, index, phase=ENDED)))
        if not host.has_waited:
            steps.append(('wait', self._waited(state, index)))
        if self._may_order(host):
            orders = state.orders | {host.number}
            steps.append(('order', state._replace(orders=orders)))
        return steps

    def _may_acquire(self, state: State, index: int) -> bool:
        if state.number >= MAX_NUMBER:
            return False
        holder = next(
            (h for h in state.hosts if h.number == state.number), None
        )
        if holder is None or holder is state.hosts[index]:
            return holder is None or holder.phase == ENDED
        return holder.phase == ENDED or not self.rules.awaits_end

    def _acquired(self, state: State, index: int) -> State:
        number = state.number + 1
        acquired = _with_host(
            state, index, number=number, phase=HELD, has_waited=False
        )
        return acquired._replace(number=number)

    def _waited(self, state: State, index: int) -> State:
        own = state.hosts[index].number
        waited = _with_host(state, index, has_waited=True)
        if not self.rules.waits:
            return waited
        orders = frozenset(n for n in state.orders if n >= own)
        return waited._replace(orders=orders)

    def _may_order(self, host: Host) -> bool:
        if not host.has_waited:
            return False
        return host.phase == HELD or not self.rules.stops_early

    def _delivered(self, state: State, number: int) -> State:
        state = state._replace(orders=state.orders - {number})
        if self.rules.checks and number < state.applied:
            return state
        has_reverted = state.has_reverted or number < state.applied
        return state._replace(applied=number, has_reverted=has_reverted)


def _with_host(state: State, index: int, **changes: typing.Any) -> State:
    host = state.hosts[index]._replace(**changes)
    return state._replace(hosts=specs.replaced(state.hosts, index, host))


ORDERED = 'no older order after a newer one'
ONE_HOLDER = 'one holder may order'


def _has_one_holder(state: State) -> bool:
    return [h.phase for h in state.hosts].count(HELD) <= 1


def protocol(rules: Rules) -> minicheck.Protocol:
    """Return the machine of two hosts and one engine."""
    start = State(0, (Host(), Host()), frozenset(), 0, False)
    invariants = {
        ORDERED: lambda s: not s.has_reverted,
        ONE_HOLDER: _has_one_holder,
    }
    machine = Machine(rules)
    return specs.protocol('lease', start, machine.transitions, invariants)


def cases(_depth: specs.Depth) -> list[specs.Case]:
    """Return the sound machines and the faulty ones."""
    return [
        specs.Case('lease, engine checks', protocol(Rules(True))),
        specs.Case(
            'lease, engine checks, paused holder continues',
            protocol(Rules(True, stops_early=False, waits=False)),
        ),
        specs.Case('lease, engine ignores numbers', protocol(Rules(False))),
        specs.Case(
            'lease: no check after a pause',
            protocol(Rules(False, stops_early=False)),
            ORDERED,
        ),
        specs.Case(
            'lease: successor does not wait for older orders',
            protocol(Rules(False, waits=False)),
            ORDERED,
        ),
        specs.Case(
            'lease: acquired before its end',
            protocol(Rules(False, awaits_end=False)),
            ONE_HOLDER,
        ),
    ]
