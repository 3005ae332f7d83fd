"""Specification of requests that crash their targets.

Two requests run on three targets; the first crashes each target that runs
it. Both may be on one target when it crashes. A suspect, a request with a
strike, runs alone, and two strikes on different targets quarantine it.
"""

import typing

import minicheck

from proof import specs

LIMIT = 2
TARGETS = 3
CRASHER = 0


class Request(typing.NamedTuple):
    """One request, its target, its strikes and its answers.

    ``runs_done`` counts completed runs; ``target`` is -1 while it waits.
    """

    is_repeatable: bool
    target: int = -1
    strikes: frozenset = frozenset()
    runs: int = 0
    runs_done: int = 0
    answers: tuple[str, ...] = ()


class State(typing.NamedTuple):
    """State of the machine; ``up`` holds the running targets."""

    requests: tuple[Request, ...]
    up: frozenset
    crash_count: int


class Rules(typing.NamedTuple):
    """Faults in the protocol; the check must reject each of them."""

    runs_suspects_together: bool = False
    forgets_strikes: bool = False
    drops_companions: bool = False
    repeats_all: bool = False


class Machine:
    """The transitions under ``rules``."""

    def __init__(self, rules: Rules) -> None:
        self.rules = rules

    def transitions(self, state: State) -> list[tuple[str, State]]:
        """Return every possible next step, as label and next state."""
        steps = []
        for index, request in enumerate(state.requests):
            if request.answers:
                continue
            if request.target < 0:
                steps += self._waiting_steps(state, index)
            elif index != CRASHER:
                steps.append((f'answer {index}', self._answered(state, index)))
            else:
                steps.append(('crash', self._crashed(state, request.target)))
        down = set(range(TARGETS)) - state.up
        steps += [
            (f'restart {t}', state._replace(up=state.up | {t})) for t in down
        ]
        return steps

    def _waiting_steps(self, state: State, index: int) -> list:
        request = state.requests[index]
        if len(request.strikes) >= LIMIT:
            refused = _with_request(state, index, answers=('quarantined',))
            return [(f'refuse {index}', refused)]
        return [
            (
                f'run {index} on {target}',
                _with_request(
                    state, index, target=target, runs=request.runs + 1
                ),
            )
            for target in state.up - request.strikes
            if self._may_run(state, index, target)
        ]

    def _may_run(self, state: State, index: int, target: int) -> bool:
        others = [
            r
            for i, r in enumerate(state.requests)
            if i != index and r.target == target
        ]
        if self.rules.runs_suspects_together or not others:
            return True
        is_suspect = bool(state.requests[index].strikes)
        return not is_suspect and not any(r.strikes for r in others)

    def _answered(self, state: State, index: int) -> State:
        request = state.requests[index]
        return _with_request(
            state,
            index,
            target=-1,
            runs_done=request.runs_done + 1,
            answers=(*request.answers, 'answered'),
        )

    def _crashed(self, state: State, target: int) -> State:
        crash_count = state.crash_count + 1
        state = state._replace(up=state.up - {target}, crash_count=crash_count)
        for index, request in enumerate(state.requests):
            if request.target == target:
                state = self._with_strike(state, index, target)
        return state

    def _with_strike(self, state: State, index: int, target: int) -> State:
        request = state.requests[index]
        if self.rules.drops_companions and index != CRASHER:
            return _with_request(state, index, target=-2)
        if not request.is_repeatable and not self.rules.repeats_all:
            return _with_request(state, index, target=-1, answers=('unknown',))
        strikes = request.strikes
        if not self.rules.forgets_strikes:
            strikes |= {target}
        return _with_request(state, index, target=-1, strikes=strikes)


def _with_request(state: State, index: int, **changes: typing.Any) -> State:
    request = state.requests[index]._replace(**changes)
    requests = specs.replaced(state.requests, index, request)
    return state._replace(requests=requests)


CRASHES_LIMITED = 'at most two targets crash'
INNOCENT_SERVED = 'innocent is never quarantined'
ONE_ANSWER = 'at most one answer'
NONE_LOST = 'no request is lost'
RUNS_ONCE = 'non-repeatable runs once'


def _is_innocent_served(state: State) -> bool:
    return all(
        'quarantined' not in request.answers
        for index, request in enumerate(state.requests)
        if index != CRASHER
    )


INVARIANTS = {
    CRASHES_LIMITED: lambda s: s.crash_count <= LIMIT,
    INNOCENT_SERVED: _is_innocent_served,
    ONE_ANSWER: lambda s: all(len(r.answers) <= 1 for r in s.requests),
    NONE_LOST: lambda s: all(r.target >= -1 for r in s.requests),
    RUNS_ONCE: lambda s: all(
        r.is_repeatable or r.runs <= 1 for r in s.requests
    ),
}
FAULTY = (
    (
        'suspects share a target',
        'runs_suspects_together',
        INNOCENT_SERVED,
        True,
    ),
    ('strikes forgotten', 'forgets_strikes', CRASHES_LIMITED, True),
    ('companions dropped', 'drops_companions', NONE_LOST, True),
    ('non-repeatable run again', 'repeats_all', RUNS_ONCE, False),
)


def protocol(
    is_repeatable: bool = True, rules: Rules = Rules()
) -> minicheck.Protocol:
    """Return the machine; the second request may be non-repeatable."""
    requests = (Request(True), Request(is_repeatable))
    start = State(requests, frozenset(range(TARGETS)), 0)
    machine = Machine(rules)
    return specs.protocol('quarantine', start, machine.transitions, INVARIANTS)


def cases(_depth: specs.Depth) -> list[specs.Case]:
    """Return the sound machines and the faulty ones."""
    faulty = [
        specs.Case(
            f'quarantine: {title}',
            protocol(is_repeatable, Rules(**{rule: True})),
            violates,
        )
        for title, rule, violates, is_repeatable in FAULTY
    ]
    return [
        specs.Case('quarantine', protocol()),
        specs.Case('quarantine, second not repeatable', protocol(False)),
        *faulty,
    ]
