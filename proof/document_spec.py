"""Specification of document changes, their propagation and restarts.

Two operators each make one change, based on the version they read, and may
lose the reply. Hosts receive the log's head from the platform or from each
other; messages between hosts may be late or duplicated.
"""

import typing

import minicheck

from proof import specs


class Operator(typing.NamedTuple):
    """One operator: the version read and the answer of the command."""

    step: str = 'idle'
    base: int = 0
    answer: str = ''


class Host(typing.NamedTuple):
    """One host; ``in_force`` is 0 until it is ready.

    ``floor`` is the highest version that this incarnation had in force.
    """

    is_up: bool = True
    is_ready: bool = True
    in_force: int = 0
    floor: int = 0


class State(typing.NamedTuple):
    """State of the machine; ``log`` has the applied changes in order."""

    log: tuple[int, ...]
    operators: tuple[Operator, ...]
    hosts: tuple[Host, ...]
    snapshot: int
    messages: frozenset
    is_platform_up: bool
    restarts_left: int
    was_behind: bool


class Rules(typing.NamedTuple):
    """Faults in the protocol; the check must reject each of them."""

    applies_lower: bool = False
    starts_with_snapshot: bool = False
    writes_blindly: bool = False
    says_failed_when_lost: bool = False


class Machine:
    """The transitions under ``rules``."""

    def __init__(self, rules: Rules) -> None:
        self.rules = rules

    def transitions(self, state: State) -> list[tuple[str, State]]:
        """Return every possible next step, as label and next state."""
        steps = self._platform_steps(state)
        for index in range(len(state.operators)):
            steps += self._operator_steps(state, index)
        for index in range(len(state.hosts)):
            steps += self._host_steps(state, index)
        return steps

    def _platform_steps(self, state: State) -> list:
        is_up = state.is_platform_up
        steps = [('platform', state._replace(is_platform_up=not is_up))]
        if is_up and state.snapshot < len(state.log):
            written = state._replace(snapshot=len(state.log))
            steps.append(('snapshot', written))
        return steps

    def _operator_steps(self, state: State, index: int) -> list:
        operator = state.operators[index]
        if not state.is_platform_up:
            return []
        if operator.step == 'idle':
            read = Operator('edit', len(state.log))
            return [(f'read {index}', _with_operator(state, index, read))]
        if operator.step == 'edit':
            applied = self._with_change(state, index)
            lost = 'failed' if self.rules.says_failed_when_lost else ''
            return [
                (f'change {index}', self._with_reply(applied, index)),
                (f'lose_answer {index}', _with_answer(applied, index, lost)),
                (f'late {index}', _with_answer(state, index, '', 'late')),
            ]
        if operator.answer:
            return []
        settled = (
            f'settle {index}',
            self._with_looked_up_result(state, index),
        )
        if operator.step != 'late':
            return [settled]
        landed = _with_answer(self._with_change(state, index), index, '')
        return [settled, (f'land {index}', landed)]

    def _with_change(self, state: State, index: int) -> State:
        is_current = state.operators[index].base == len(state.log)
        if not is_current and not self.rules.writes_blindly:
            return state
        if self.rules.writes_blindly:
            kept = state.log[: state.operators[index].base]
            return state._replace(log=(*kept, index))
        return state._replace(log=(*state.log, index))

    def _with_reply(self, state: State, index: int) -> State:
        answer = 'accepted' if index in state.log else 'conflict'
        return _with_answer(state, index, answer)

    def _with_looked_up_result(self, state: State, index: int) -> State:
        if index in state.log:
            return _with_answer(state, index, 'accepted')
        if state.operators[index].step == 'late':
            return _with_answer(state, index, 'unknown')
        return _with_answer(state, index, 'conflict')

    def _host_steps(self, state: State, index: int) -> list:
        host = state.hosts[index]
        if not host.is_up:
            started = Host(is_ready=False)
            return [(f'start {index}', _with_host(state, index, started))]
        steps = [
            (f'hear {index} {version}', self._received(state, index, version))
            for version in state.messages
        ]
        if state.restarts_left:
            down = _with_host(state, index, Host(False, False))
            left = state.restarts_left - 1
            steps.append((f'crash {index}', down._replace(restarts_left=left)))
        if not host.is_ready:
            return [*steps, (f'ready {index}', self._made_ready(state, index))]
        if state.is_platform_up:
            polled = self._received(state, index, len(state.log))
            steps.append((f'poll {index}', polled))
        sent = state._replace(messages=state.messages | {host.in_force})
        return [*steps, (f'send {index}', sent)]

    def _received(self, state: State, index: int, version: int) -> State:
        host = state.hosts[index]
        is_newer = version > host.in_force or self.rules.applies_lower
        if not is_newer or not host.is_ready:
            return state
        floor = max(host.floor, version)
        changed = host._replace(in_force=version, floor=floor)
        return _with_host(state, index, changed)

    def _made_ready(self, state: State, index: int) -> State:
        reachable = [h.in_force for h in state.hosts if h.is_ready]
        versions = [state.snapshot] if state.is_platform_up else [0]
        if not self.rules.starts_with_snapshot:
            versions += reachable
            versions += [len(state.log)] if state.is_platform_up else []
        version = max(versions)
        ready = Host(True, True, version, version)
        behind = version < max(reachable, default=0)
        was_behind = state.was_behind or behind
        return _with_host(state, index, ready)._replace(was_behind=was_behind)


def _with_host(state: State, index: int, host: Host) -> State:
    return state._replace(hosts=specs.replaced(state.hosts, index, host))


def _with_operator(state: State, index: int, operator: Operator) -> State:
    operators = specs.replaced(state.operators, index, operator)
    return state._replace(operators=operators)


def _with_answer(
    state: State, index: int, answer: str, step: str = 'sent'
) -> State:
    operator = state.operators[index]._replace(step=step, answer=answer)
    return _with_operator(state, index, operator)


NEVER_REVERTS = 'never reverts'
CAUGHT_UP = 'ready only when caught up'
ACCEPTED_KEPT = 'accepted change is kept'
FAILED_NOT_APPLIED = 'failed change was not applied'


def _is_accepted_kept(state: State) -> bool:
    return all(
        operator.answer != 'accepted' or index in state.log
        for index, operator in enumerate(state.operators)
    )


def _is_failed_not_applied(state: State) -> bool:
    return all(
        operator.answer not in ('failed', 'conflict') or index not in state.log
        for index, operator in enumerate(state.operators)
    )


INVARIANTS = {
    NEVER_REVERTS: lambda s: all(h.in_force >= h.floor for h in s.hosts),
    CAUGHT_UP: lambda s: not s.was_behind,
    ACCEPTED_KEPT: _is_accepted_kept,
    FAILED_NOT_APPLIED: _is_failed_not_applied,
}
FAULTY = (
    ('lower version applied', 'applies_lower', NEVER_REVERTS),
    ('restart with an old snapshot', 'starts_with_snapshot', CAUGHT_UP),
    ('write without a condition', 'writes_blindly', ACCEPTED_KEPT),
    (
        'lost reply reported as failed',
        'says_failed_when_lost',
        FAILED_NOT_APPLIED,
    ),
)


def protocol(hosts: int = 2, rules: Rules = Rules()) -> minicheck.Protocol:
    """Return the machine of two operators and ``hosts`` hosts."""
    start = State(
        (),
        (Operator(),) * 2,
        (Host(),) * hosts,
        0,
        frozenset(),
        True,
        2,
        False,
    )
    machine = Machine(rules)
    return specs.protocol('document', start, machine.transitions, INVARIANTS)


def cases(depth: specs.Depth) -> list[specs.Case]:
    """Return the sound machines and the faulty ones."""
    hosts = 2 if depth is specs.Depth.SMALL else 3
    faulty = [
        specs.Case(
            f'document: {title}',
            protocol(2, Rules(**{rule: True})),
            violates,
        )
        for title, rule, violates in FAULTY
    ]
    return [specs.Case(f'document, {hosts} hosts', protocol(hosts)), *faulty]
