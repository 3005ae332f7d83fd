"""Cases, verdicts and checks shared by the specification modules."""

import enum
import typing

import attrs
import minicheck

MAX_STATES = 2_000_000

#: The search is breadth-first, so broken cases fail within few states.
MAX_FAULTY_STATES = 25_000


class Depth(enum.Enum):
    """Size of the state space: for pytest, for CI, or for long runs."""

    SMALL = 'small'
    USUAL = 'usual'
    DEEP = 'deep'


@attrs.frozen
class Case:
    """One machine to check.

    ``violates`` names the invariant that a faulty machine must violate.
    """

    name: str
    protocol: minicheck.Protocol
    violates: str | None = None


@attrs.frozen
class Verdict:
    """The result of one case; ``trace`` has the counterexample's labels."""

    case: Case
    state_count: int
    violated: tuple[str, ...]
    trace: tuple[str, ...] = ()
    is_exhaustive: bool = True

    @property
    def is_as_expected(self) -> bool:
        """Tell whether a sound case passed or a faulty one was rejected."""
        if self.case.violates is None:
            return self.is_exhaustive and not self.violated
        return self.case.violates in self.violated


def check(case: Case) -> Verdict:
    """Explore the states of ``case`` up to the limit of its kind."""
    limit = MAX_FAULTY_STATES if case.violates else MAX_STATES
    report = minicheck.check_safety(case.protocol, max_states=limit)
    violated = tuple(
        name
        for name, result in report['properties'].items()
        if result['holds'] is False
    )
    trace: tuple[str, ...] = ()
    if case.violates in violated:
        steps = report['properties'][case.violates]['counterexample']
        trace = tuple(step['label'] for step in steps[1:])
    return Verdict(
        case, report['reachable_states'], violated, trace, report['exhaustive']
    )


def protocol(
    name: str,
    initial: tuple,
    transitions: typing.Callable,
    invariants: dict[str, typing.Callable],
) -> minicheck.Protocol:
    """Return a machine whose state is the named tuple ``initial``.

    Invariants receive the state itself.
    """
    return _TypedProtocol(
        name=name,
        candidate=False,
        fields=type(initial)._fields,
        initial=initial,
        transitions=transitions,
        invariants=invariants,
    )


class _TypedProtocol(minicheck.Protocol):
    """Passes states to invariants as named tuples instead of dicts."""

    def d(self, s: tuple) -> tuple:
        return s


def replaced(items: tuple, index: int, item: typing.Any) -> tuple:
    """Return a copy of ``items`` with ``item`` at ``index``."""
    return (*items[:index], item, *items[index + 1 :])
