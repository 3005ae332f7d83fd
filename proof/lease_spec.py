"""Specification of leases with fencing numbers for orders to engines.

Two hosts compete for one engine. A host's clock passes three times of its
lease while it may be paused: the time when it stops to give orders, and the
end of the lease. A new holder's number is higher by one. Orders linger on
the network until the new holder has waited long enough for all older ones.
"""

import typing

import minicheck

from proof import specs

HELD, STOPPED, ENDED = 'held', 'stopped', 'ended'
MAX_NUMBER = 3


class Host(typing.NamedTuple):
    """One host: the number it holds, 0 for none."""

    number: int = 0
    phase: str = ENDED
    has_waited: bool = False


class State(typing.NamedTuple):
    """The lease row's number, the orders under way and the engine's last."""

    number: int
    hosts: tuple[Host, ...]
    orders: frozenset
    applied: int
    went_back: bool


class Rules(typing.NamedTuple):
    """``checks`` says that the engine refuses old numbers."""

    checks: bool
    stops_early: bool = True
    waits: bool = True
    awaits_end: bool = True


class Machine:
    """The transitions under ``rules``."""

    def __init__(self, rules: Rules) -> None:
        self.rules = rules

    def transitions(self, state: State) -> list[tuple[str, State]]:
        """Return every step that may follow, with its label."""
        found = [
            (f'{name} {index}', after)
            for index in range(len(state.hosts))
            for name, after in self._host_steps(state, index)
        ]
        found += [
            (f'deliver {number}', self._delivered(state, number))
            for number in state.orders
        ]
        return found

    def _host_steps(self, state: State, index: int) -> list:
        host = state.hosts[index]
        found = []
        if self._may_take(state, index):
            found.append(('take', self._taken(state, index)))
        if not host.number:
            return found
        if host.phase == HELD:
            found.append(('stop', _with(state, index, phase=STOPPED)))
        if host.phase == STOPPED:
            found.append(('end', _with(state, index, phase=ENDED)))
        if not host.has_waited:
            found.append(('wait', self._waited(state, index)))
        if self._may_order(host):
            orders = state.orders | {host.number}
            found.append(('order', state._replace(orders=orders)))
        return found

    def _may_take(self, state: State, index: int) -> bool:
        if state.number >= MAX_NUMBER:
            return False
        holder = next(
            (h for h in state.hosts if h.number == state.number), None
        )
        if holder is None or holder is state.hosts[index]:
            return holder is None or holder.phase == ENDED
        return holder.phase == ENDED or not self.rules.awaits_end

    def _taken(self, state: State, index: int) -> State:
        number = state.number + 1
        taken = _with(
            state, index, number=number, phase=HELD, has_waited=False
        )
        return taken._replace(number=number)

    def _waited(self, state: State, index: int) -> State:
        own = state.hosts[index].number
        waited = _with(state, index, has_waited=True)
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
        went_back = state.went_back or number < state.applied
        return state._replace(applied=number, went_back=went_back)


def _with(state: State, index: int, **changes: typing.Any) -> State:
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
        ORDERED: lambda s: not s.went_back,
        ONE_HOLDER: _has_one_holder,
    }
    machine = Machine(rules)
    return specs.protocol('lease', start, machine.transitions, invariants)


def cases(_depth: specs.Depth) -> list[specs.Case]:
    """Return the sound machines and the broken ones."""
    return [
        specs.Case('lease, engine checks', protocol(Rules(True))),
        specs.Case(
            'lease, engine checks, paused holder goes on',
            protocol(Rules(True, stops_early=False, waits=False)),
        ),
        specs.Case('lease, engine ignores numbers', protocol(Rules(False))),
        specs.Case(
            'lease: no check after waking',
            protocol(Rules(False, stops_early=False)),
            ORDERED,
        ),
        specs.Case(
            'lease: successor does not wait out orders',
            protocol(Rules(False, waits=False)),
            ORDERED,
        ),
        specs.Case(
            'lease: taken before its end',
            protocol(Rules(False, awaits_end=False)),
            ONE_HOLDER,
        ),
    ]
