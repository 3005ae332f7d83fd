"""Specification of document changes, their spread and restarts.

Two operators each make one change, based on the version they read, and may
lose the answer. Hosts learn the log's head from the platform or from each
other; messages between hosts may be late or repeated.
"""

import typing

import minicheck

from proof import specs


class Editor(typing.NamedTuple):
    """One operator: the version read and what its command said."""

    step: str = 'idle'
    base: int = 0
    said: str = ''


class Host(typing.NamedTuple):
    """One host; ``in_force`` is 0 until it is ready.

    ``floor`` is the highest version that this life has had in force.
    """

    is_up: bool = True
    is_ready: bool = True
    in_force: int = 0
    floor: int = 0


class State(typing.NamedTuple):
    """``log`` holds the change ids applied, in order."""

    log: tuple[int, ...]
    editors: tuple[Editor, ...]
    hosts: tuple[Host, ...]
    snapshot: int
    messages: frozenset
    is_platform_up: bool
    restarts_left: int
    was_behind: bool


class Rules(typing.NamedTuple):
    """Departures from the protocol, each of which must be rejected."""

    applies_lower: bool = False
    starts_with_snapshot: bool = False
    writes_blindly: bool = False
    says_failed_when_lost: bool = False


class Machine:
    """The transitions under ``rules``."""

    def __init__(self, rules: Rules) -> None:
        self.rules = rules

    def transitions(self, state: State) -> list[tuple[str, State]]:
        """Return every step that may follow, with its label."""
        found = self._platform_steps(state)
        for index in range(len(state.editors)):
            found += self._editor_steps(state, index)
        for index in range(len(state.hosts)):
            found += self._host_steps(state, index)
        return found

    def _platform_steps(self, state: State) -> list:
        is_up = state.is_platform_up
        found = [('platform', state._replace(is_platform_up=not is_up))]
        if is_up and state.snapshot < len(state.log):
            written = state._replace(snapshot=len(state.log))
            found.append(('snapshot', written))
        return found

    def _editor_steps(self, state: State, index: int) -> list:
        editor = state.editors[index]
        if not state.is_platform_up:
            return []
        if editor.step == 'idle':
            read = Editor('edit', len(state.log))
            return [(f'read {index}', _edit(state, index, read))]
        if editor.step == 'edit':
            applied = self._changed(state, index)
            lost = 'failed' if self.rules.says_failed_when_lost else ''
            return [
                (f'change {index}', self._told(applied, index)),
                (f'lose_answer {index}', _said(applied, index, lost)),
                (f'late {index}', _said(state, index, '', 'late')),
            ]
        if editor.said:
            return []
        settled = (f'settle {index}', self._settled(state, index))
        if editor.step != 'late':
            return [settled]
        landed = _said(self._changed(state, index), index, '')
        return [settled, (f'land {index}', landed)]

    def _changed(self, state: State, index: int) -> State:
        is_current = state.editors[index].base == len(state.log)
        if not is_current and not self.rules.writes_blindly:
            return state
        if self.rules.writes_blindly:
            kept = state.log[: state.editors[index].base]
            return state._replace(log=(*kept, index))
        return state._replace(log=(*state.log, index))

    def _told(self, state: State, index: int) -> State:
        said = 'accepted' if index in state.log else 'conflict'
        return _said(state, index, said)

    def _settled(self, state: State, index: int) -> State:
        if index in state.log:
            return _said(state, index, 'accepted')
        if state.editors[index].step == 'late':
            return _said(state, index, 'unknown')
        return _said(state, index, 'conflict')

    def _host_steps(self, state: State, index: int) -> list:
        host = state.hosts[index]
        if not host.is_up:
            started = Host(is_ready=False)
            return [(f'start {index}', _host(state, index, started))]
        found = [
            (f'hear {index} {version}', self._heard(state, index, version))
            for version in state.messages
        ]
        if state.restarts_left:
            down = _host(state, index, Host(False, False))
            left = state.restarts_left - 1
            found.append((f'crash {index}', down._replace(restarts_left=left)))
        if not host.is_ready:
            return [*found, (f'ready {index}', self._readied(state, index))]
        if state.is_platform_up:
            polled = self._heard(state, index, len(state.log))
            found.append((f'poll {index}', polled))
        sent = state._replace(messages=state.messages | {host.in_force})
        return [*found, (f'send {index}', sent)]

    def _heard(self, state: State, index: int, version: int) -> State:
        host = state.hosts[index]
        is_newer = version > host.in_force or self.rules.applies_lower
        if not is_newer or not host.is_ready:
            return state
        floor = max(host.floor, version)
        changed = host._replace(in_force=version, floor=floor)
        return _host(state, index, changed)

    def _readied(self, state: State, index: int) -> State:
        reachable = [h.in_force for h in state.hosts if h.is_ready]
        known = [state.snapshot] if state.is_platform_up else [0]
        if not self.rules.starts_with_snapshot:
            known += reachable
            known += [len(state.log)] if state.is_platform_up else []
        version = max(known)
        ready = Host(True, True, version, version)
        behind = version < max(reachable, default=0)
        was_behind = state.was_behind or behind
        return _host(state, index, ready)._replace(was_behind=was_behind)


def _host(state: State, index: int, host: Host) -> State:
    return state._replace(hosts=specs.replaced(state.hosts, index, host))


def _edit(state: State, index: int, editor: Editor) -> State:
    editors = specs.replaced(state.editors, index, editor)
    return state._replace(editors=editors)


def _said(state: State, index: int, said: str, step: str = 'sent') -> State:
    editor = state.editors[index]._replace(step=step, said=said)
    return _edit(state, index, editor)


FORWARD = 'never goes back'
CAUGHT_UP = 'ready only when caught up'
KEPT = 'accepted change is kept'
TRUE = 'failed did not happen'


def _is_kept(state: State) -> bool:
    return all(
        editor.said != 'accepted' or index in state.log
        for index, editor in enumerate(state.editors)
    )


def _is_true(state: State) -> bool:
    return all(
        editor.said not in ('failed', 'conflict') or index not in state.log
        for index, editor in enumerate(state.editors)
    )


INVARIANTS = {
    FORWARD: lambda s: all(h.in_force >= h.floor for h in s.hosts),
    CAUGHT_UP: lambda s: not s.was_behind,
    KEPT: _is_kept,
    TRUE: _is_true,
}
BROKEN = (
    ('lower version applied', 'applies_lower', FORWARD),
    ('restart with an old snapshot', 'starts_with_snapshot', CAUGHT_UP),
    ('write without a condition', 'writes_blindly', KEPT),
    ('lost answer called failed', 'says_failed_when_lost', TRUE),
)


def protocol(hosts: int = 2, rules: Rules = Rules()) -> minicheck.Protocol:
    """Return the machine of two operators and ``hosts`` hosts."""
    start = State(
        (),
        (Editor(),) * 2,
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
    """Return the sound machines and the broken ones."""
    hosts = 2 if depth is specs.Depth.SMALL else 3
    broken = [
        specs.Case(
            f'document: {title}',
            protocol(2, Rules(**{rule: True})),
            violates,
        )
        for title, rule, violates in BROKEN
    ]
    return [specs.Case(f'document, {hosts} hosts', protocol(hosts)), *broken]
