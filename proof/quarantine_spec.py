"""Specification of requests that crash their targets.

Two requests run on three targets; the first crashes each target that runs
it. Both may be on one target when it goes. A suspect runs alone, and two
strikes on different targets quarantine it.
"""

import typing

import minicheck

from proof import specs

LIMIT = 2
TARGETS = 3
CRASHER = 0


class Request(typing.NamedTuple):
    """One request: where it runs, and how often it was answered.

    ``runs_done`` counts runs to the end; ``target`` is -1 when it waits.
    """

    is_repeatable: bool
    target: int = -1
    strikes: frozenset = frozenset()
    runs: int = 0
    runs_done: int = 0
    answers: tuple[str, ...] = ()


class State(typing.NamedTuple):
    """``up`` holds the targets that live; ``kills`` counts crashes."""

    requests: tuple[Request, ...]
    up: frozenset
    kills: int


class Rules(typing.NamedTuple):
    """Departures from the protocol, each of which must be rejected."""

    runs_suspects_together: bool = False
    forgets_strikes: bool = False
    drops_companions: bool = False
    repeats_all: bool = False


class Machine:
    """The transitions under ``rules``."""

    def __init__(self, rules: Rules) -> None:
        self.rules = rules

    def transitions(self, state: State) -> list[tuple[str, State]]:
        """Return every step that may follow, with its label."""
        found = []
        for index, request in enumerate(state.requests):
            if request.answers:
                continue
            if request.target < 0:
                found += self._waiting_steps(state, index)
            elif index != CRASHER:
                found.append((f'answer {index}', self._done(state, index)))
            else:
                found.append(('crash', self._crashed(state, request.target)))
        down = set(range(TARGETS)) - state.up
        found += [
            (f'restart {t}', state._replace(up=state.up | {t})) for t in down
        ]
        return found

    def _waiting_steps(self, state: State, index: int) -> list:
        request = state.requests[index]
        if len(request.strikes) >= LIMIT:
            refused = _with(state, index, answers=('quarantined',))
            return [(f'refuse {index}', refused)]
        return [
            (
                f'run {index} on {target}',
                _with(state, index, target=target, runs=request.runs + 1),
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

    def _done(self, state: State, index: int) -> State:
        request = state.requests[index]
        return _with(
            state,
            index,
            target=-1,
            runs_done=request.runs_done + 1,
            answers=(*request.answers, 'answered'),
        )

    def _crashed(self, state: State, target: int) -> State:
        kills = state.kills + 1
        state = state._replace(up=state.up - {target}, kills=kills)
        for index, request in enumerate(state.requests):
            if request.target == target:
                state = self._struck(state, index, target)
        return state

    def _struck(self, state: State, index: int, target: int) -> State:
        request = state.requests[index]
        if self.rules.drops_companions and index != CRASHER:
            return _with(state, index, target=-2)
        if not request.is_repeatable and not self.rules.repeats_all:
            return _with(state, index, target=-1, answers=('unknown',))
        strikes = request.strikes
        if not self.rules.forgets_strikes:
            strikes |= {target}
        return _with(state, index, target=-1, strikes=strikes)


def _with(state: State, index: int, **changes: typing.Any) -> State:
    request = state.requests[index]._replace(**changes)
    requests = specs.replaced(state.requests, index, request)
    return state._replace(requests=requests)


FEW_KILLS = 'at most two targets crash'
INNOCENT = 'innocent is never quarantined'
ONE_ANSWER = 'at most one answer'
NOT_LOST = 'no request is lost'
ONCE = 'non-repeatable runs once'


def _is_innocent_served(state: State) -> bool:
    return all(
        'quarantined' not in request.answers
        for index, request in enumerate(state.requests)
        if index != CRASHER
    )


INVARIANTS = {
    FEW_KILLS: lambda s: s.kills <= LIMIT,
    INNOCENT: _is_innocent_served,
    ONE_ANSWER: lambda s: all(len(r.answers) <= 1 for r in s.requests),
    NOT_LOST: lambda s: all(r.target >= -1 for r in s.requests),
    ONCE: lambda s: all(r.is_repeatable or r.runs <= 1 for r in s.requests),
}
BROKEN = (
    ('suspects share a target', 'runs_suspects_together', INNOCENT, True),
    ('strikes forgotten', 'forgets_strikes', FEW_KILLS, True),
    ('companions dropped', 'drops_companions', NOT_LOST, True),
    ('non-repeatable run again', 'repeats_all', ONCE, False),
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
    """Return the sound machines and the broken ones."""
    broken = [
        specs.Case(
            f'quarantine: {title}',
            protocol(is_repeatable, Rules(**{rule: True})),
            violates,
        )
        for title, rule, violates, is_repeatable in BROKEN
    ]
    return [
        specs.Case('quarantine', protocol()),
        specs.Case('quarantine, second not repeatable', protocol(False)),
        *broken,
    ]
