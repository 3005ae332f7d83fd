"""Specification of the at-most-once claim.

Each host makes one claim on one key, in the order of the indexes. A step
includes all that the host's code does without waiting. Everything else is
nondeterministic: whether a write is applied, answered, delayed or refused,
whether a host crashes, and how far its clock moves while it is paused.
"""

import typing

import minicheck

from proof import specs

EARLY, NEAR, LATE = 'early', 'margin', 'late'
ABSENT, DISPATCHED, NOT_RUN, SETTLED = (
    'absent',
    'dispatched',
    'not_run',
    'settled',
)
WRITTEN = {
    'insert': DISPATCHED,
    'refuse': NOT_RUN,
    'release': NOT_RUN,
    'settle': SETTLED,
}
#: A number of faults that means no limit.
UNLIMITED = 99

WAITING = {f'{step}_wait': step for step in WRITTEN}


class Row(typing.NamedTuple):
    """The key's row; ``owner`` is a host's index."""

    state: str
    owner: int
    version: int


class Host(typing.NamedTuple):
    """One host; a step named after a write means that it is in flight."""

    step: str = 'idle'
    base: int = 0
    phase: str = EARLY
    verdict: str = ''
    is_uncertain: bool = False
    sent: int = 0


class State(typing.NamedTuple):
    """State of the machine; ``lingering`` holds delayed writes.

    A delayed write got no reply and may still be applied.
    """

    row: Row
    hosts: tuple[Host, ...]
    lingering: frozenset
    was_settled: bool
    faults_left: int


class Rules(typing.NamedTuple):
    """Faults in the protocol; the check must reject each of them."""

    takes_over_dispatched: bool = False
    says_not_run_unsettled: bool = False
    sends_without_check: bool = False
    refuses_blindly: bool = False
    trusts_dispatched_as_done: bool = False


class Machine:
    """The transitions of ``count`` hosts under ``rules``."""

    def __init__(self, count: int, rules: Rules) -> None:
        self.count = count
        self.rules = rules

    def transitions(self, state: State) -> list[tuple[str, State]]:
        """Return every possible next step, as label and next state."""
        steps = [
            (f'{name} {index}', next_state)
            for index in range(self.count)
            for name, next_state in self._host_steps(state, index)
        ]
        steps += [
            (_land_label(write), self._applied(state, write)[0])
            for write in sorted(state.lingering)
        ]
        return [(label, _pruned(next_state)) for label, next_state in steps]

    def _host_steps(self, state: State, index: int) -> list:
        host = state.hosts[index]
        if host.step == 'down':
            return []
        steps = self._clock_steps(state, index)
        if host.step == 'idle':
            is_next = not index or state.hosts[index - 1].step != 'idle'
            claim_step = ('claim', _with_host(state, index, step='insert'))
            return [claim_step] if is_next else []
        if host.step in WRITTEN:
            steps.append(('answer', self._apply_and_answer(state, index)))
        if state.faults_left:
            steps += self._fault_steps(state, index)
        if host.step in WAITING:
            steps.append(('retry', self._retried(state, index)))
        if self.may_send(host):
            steps.append(
                ('send', _with_host(state, index, sent=host.sent + 1))
            )
        if host.step == 'granted':
            end = 'settle' if host.sent else 'release'
            steps.append((end, _with_host(state, index, step=end)))
        return steps

    def may_send(self, host: Host) -> bool:
        """Tell whether ``host`` may send its call now."""
        if host.sent:
            return False
        if self.rules.sends_without_check:
            return host.verdict == 'granted'
        return host.step == 'granted' and host.phase != LATE

    def _clock_steps(self, state: State, index: int) -> list:
        host = state.hosts[index]
        if host.step in ('idle', 'end'):
            return []
        if host.phase == EARLY:
            return [('near', _with_host(state, index, phase=NEAR))]
        if host.phase == NEAR:
            verdict = host.verdict or 'undecided'
            expired = _with_host(state, index, phase=LATE, verdict=verdict)
            return [('expire', expired)]
        return []

    def _crashed(self, state: State, index: int) -> State:
        host = state.hosts[index]
        lingering = state.lingering
        if host.step in WRITTEN:
            lingering |= {self._write_of(index, host)}
        down = _with_host(state, index, step='down')
        return down._replace(lingering=lingering)

    def _write_of(self, index: int, host: Host) -> tuple:
        is_blind = self.rules.refuses_blindly and host.step == 'refuse'
        base = -1 if is_blind else host.base
        return (index, WRITTEN[host.step], base)

    def _apply_and_answer(self, state: State, index: int) -> State:
        write = self._write_of(index, state.hosts[index])
        applied, is_committed = self._applied(state, write)
        return self._answered(applied, index, is_committed)

    def _fault_steps(self, state: State, index: int) -> list:
        left = (
            state.faults_left - 1
            if state.faults_left < UNLIMITED
            else UNLIMITED
        )
        state = state._replace(faults_left=left)
        steps = [('crash', self._crashed(state, index))]
        if state.hosts[index].step not in WRITTEN:
            return steps
        write = self._write_of(index, state.hosts[index])
        applied, _ = self._applied(state, write)
        delayed = state._replace(lingering=state.lingering | {write})
        return [
            *steps,
            ('lose_answer', self._with_unknown_result(applied, index)),
            ('delay_write', self._with_unknown_result(delayed, index)),
            ('refuse_write', self._with_unavailable_store(state, index)),
        ]

    def _applied(self, state: State, write: tuple) -> tuple[State, bool]:
        owner, written, base = write
        if base not in (state.row.version, -1):
            return state, False
        row = Row(written, owner, state.row.version + 1)
        was_settled = state.was_settled or written == SETTLED
        return state._replace(row=row, was_settled=was_settled), True

    def _answered(self, state: State, index: int, committed: bool) -> State:
        host = state.hosts[index]
        if not committed:
            return self._on_conflict(state, index)
        if host.step == 'insert':
            return self._on_owned(state, index)
        verdict = host.verdict
        if host.step != 'settle':
            verdict = verdict or 'not_run'
        return _with_host(state, index, step='end', verdict=verdict)

    def _on_owned(self, state: State, index: int) -> State:
        host = state.hosts[index]
        base = state.row.version
        if host.verdict or host.phase == LATE:
            return _with_host(state, index, step='release', base=base)
        return _with_host(
            state,
            index,
            step='granted',
            base=base,
            verdict='granted',
            is_uncertain=False,
        )

    def _with_unknown_result(self, state: State, index: int) -> State:
        host = state.hosts[index]
        if self.rules.says_not_run_unsettled and host.step == 'insert':
            verdict = host.verdict or 'not_run'
            return _with_host(state, index, step='end', verdict=verdict)
        step = f'{host.step}_wait'
        return _with_host(state, index, step=step, is_uncertain=True)

    def _with_unavailable_store(self, state: State, index: int) -> State:
        host = state.hosts[index]
        is_claiming = host.step in ('insert', 'refuse')
        if is_claiming and not host.is_uncertain:
            verdict = host.verdict or 'not_run'
            return _with_host(state, index, step='end', verdict=verdict)
        return _with_host(state, index, step=f'{host.step}_wait')

    def _retried(self, state: State, index: int) -> State:
        host = state.hosts[index]
        step = WAITING[host.step]
        if step == 'insert' and (host.verdict or host.phase != EARLY):
            step = 'refuse'
        return _with_host(state, index, step=step)

    def _on_conflict(self, state: State, index: int) -> State:
        host = state.hosts[index]
        row = state.row
        if row.state != ABSENT and row.owner == index:
            return self._on_own_row(state, index)
        if host.step in ('settle', 'release'):
            end = 'lost' if host.step == 'settle' else 'end'
            return _with_host(state, index, step=end)
        state = _with_host(state, index, is_uncertain=False)
        if host.verdict:
            return _with_host(state, index, step='end')
        if row.state in (ABSENT, NOT_RUN):
            if host.step == 'refuse' or host.phase == LATE:
                return _with_host(state, index, step='end', verdict='not_run')
            return _with_host(state, index, base=row.version)
        return self._on_foreign_row(state, index)

    def _on_own_row(self, state: State, index: int) -> State:
        host = state.hosts[index]
        row = state.row
        state = _with_host(state, index, base=row.version)
        if row.state == SETTLED:
            return _with_host(state, index, step='end')
        if row.state == NOT_RUN:
            verdict = host.verdict or 'not_run'
            return _with_host(state, index, step='end', verdict=verdict)
        if host.step == 'refuse':
            return _with_host(state, index, step='release')
        if host.step == 'insert':
            return self._on_owned(state, index)
        return state

    def _on_foreign_row(self, state: State, index: int) -> State:
        row = state.row
        if row.state == SETTLED or self.rules.trusts_dispatched_as_done:
            return _with_host(state, index, step='end', verdict='done')
        owner = state.hosts[row.owner]
        if self.rules.takes_over_dispatched:
            return _with_host(state, index, base=row.version)
        if owner.step == 'down':
            return _with_host(state, index, step='end', verdict='held')
        if owner.step in ('settle', 'settle_wait'):
            return _with_host(state, index, step='end', verdict='done')
        is_inserting = owner.step in ('insert', 'insert_wait')
        if owner.step == 'granted' or is_inserting and not owner.verdict:
            return _with_host(state, index, step='end', verdict='held')
        if owner.step in WAITING:
            state = self._retried(state, row.owner)
        if owner.step == 'end':
            base = row.version
            state = _with_host(state, row.owner, step='release', base=base)
        if state.hosts[index].phase != EARLY:
            return _with_host(state, index, step='end', verdict='held')
        return _with_host(state, index, step='insert_wait')


def _land_label(write: tuple) -> str:
    owner, written, base = write
    return f'land {owner} {written} {base}'


def _with_host(state: State, index: int, **changes: typing.Any) -> State:
    host = state.hosts[index]._replace(**changes)
    return state._replace(hosts=specs.replaced(state.hosts, index, host))


def _pruned(state: State) -> State:
    """Drop lingering writes whose condition can no longer hold."""
    applicable = frozenset(
        write
        for write in state.lingering
        if write[2] in (state.row.version, -1)
    )
    return state._replace(lingering=applicable)


def _is_not_run_final(state: State) -> bool:
    inserting = {
        index for index, written, _ in state.lingering if written == DISPATCHED
    }
    if state.row.state == DISPATCHED:
        inserting.add(state.row.owner)
    return not any(
        host.verdict == 'not_run' and (host.sent or index in inserting)
        for index, host in enumerate(state.hosts)
    )


def _has_done_run(state: State) -> bool:
    has_run = any(host.sent for host in state.hosts)
    return has_run or all(host.verdict != 'done' for host in state.hosts)


AT_MOST_ONCE = 'runs at most once'
NOT_RUN_FINAL = 'not run is final'
DONE_HAS_RUN = 'done has run'
OUTCOME_KEPT = 'recorded outcome is kept'
OWNER_KEPT = 'owner keeps its row'

INVARIANTS = {
    AT_MOST_ONCE: lambda s: sum(h.sent for h in s.hosts) <= 1,
    NOT_RUN_FINAL: _is_not_run_final,
    DONE_HAS_RUN: _has_done_run,
    OUTCOME_KEPT: lambda s: not s.was_settled or s.row.state == SETTLED,
    OWNER_KEPT: lambda s: all(h.step != 'lost' for h in s.hosts),
}

FAULTY_CASE_FAULTS = 3
FAULTY = (
    ('takeover of a dispatched row', 'takes_over_dispatched', AT_MOST_ONCE),
    ('takeover of a dispatched row', 'takes_over_dispatched', OWNER_KEPT),
    (
        'not run after an unsettled write',
        'says_not_run_unsettled',
        NOT_RUN_FINAL,
    ),
    ('no check after a pause', 'sends_without_check', AT_MOST_ONCE),
    ('refusal without a condition', 'refuses_blindly', OUTCOME_KEPT),
    ('dispatched treated as done', 'trusts_dispatched_as_done', DONE_HAS_RUN),
)


def initial(count: int, faults: int = UNLIMITED) -> State:
    """Return the state before any claim."""
    absent = Row(ABSENT, -1, 0)
    return State(absent, (Host(),) * count, frozenset(), False, faults)


def protocol(
    count: int, faults: int = UNLIMITED, rules: Rules = Rules()
) -> minicheck.Protocol:
    """Return the machine of ``count`` hosts and at most ``faults`` faults."""
    machine = Machine(count, rules)
    start = initial(count, faults)
    return specs.protocol('claim', start, machine.transitions, INVARIANTS)


def cases(depth: specs.Depth) -> list[specs.Case]:
    """Return the sound machines and the faulty ones."""
    sound = [specs.Case('claim, 2 hosts, any faults', protocol(2))]
    if depth is not specs.Depth.SMALL:
        faults = 2 if depth is specs.Depth.DEEP else 1
        name = f'claim, 3 hosts, faults: {faults}'
        sound.append(specs.Case(name, protocol(3, faults)))
    faulty = [
        specs.Case(
            f'claim: {title}',
            protocol(2, FAULTY_CASE_FAULTS, Rules(**{rule: True})),
            violates,
        )
        for title, rule, violates in FAULTY
    ]
    return sound + faulty
