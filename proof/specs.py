"""What a specification module offers to the model run."""

import enum
import typing

import attrs
import minicheck

MAX_STATES = 2_000_000

#: The search goes breadth first, so that a broken case fails early.
MAX_BROKEN_STATES = 25_000


class Depth(enum.Enum):
    """How much to explore: in pytest, in CI, or at leisure."""

    SMALL = 'small'
    USUAL = 'usual'
    DEEP = 'deep'


@attrs.frozen
class Case:
    """One machine to check; ``violates`` names what a broken one breaks."""

    name: str
    protocol: minicheck.Protocol
    violates: str | None = None


@attrs.frozen
class Verdict:
    """The result of one case; ``trace`` is the counterexample's labels."""

    case: Case
    state_count: int
    violated: tuple[str, ...]
    trace: tuple[str, ...] = ()
    is_exhaustive: bool = True

    @property
    def is_as_expected(self) -> bool:
        """Tell whether a sound case held and a broken one was rejected."""
        if self.case.violates is None:
            return self.is_exhaustive and not self.violated
        return self.case.violates in self.violated


def check(case: Case) -> Verdict:
    """Explore every state of ``case``."""
    limit = MAX_BROKEN_STATES if case.violates else MAX_STATES
    found = minicheck.check_safety(case.protocol, max_states=limit)
    violated = tuple(
        name
        for name, result in found['properties'].items()
        if result['holds'] is False
    )
    trace: tuple[str, ...] = ()
    if case.violates in violated:
        steps = found['properties'][case.violates]['counterexample']
        trace = tuple(step['label'] for step in steps[1:])
    return Verdict(
        case, found['reachable_states'], violated, trace, found['exhaustive']
    )


def protocol(
    name: str,
    initial: tuple,
    transitions: typing.Callable,
    invariants: dict[str, typing.Callable],
) -> minicheck.Protocol:
    """Return a machine whose state is the named tuple ``initial``.

    Invariants take the state itself.
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
    """Hands states to invariants as they are, not as dicts."""

    def d(self, s: tuple) -> tuple:
        return s


def replaced(items: tuple, index: int, item: typing.Any) -> tuple:
    """Return ``items`` with ``item`` at ``index``."""
    return (*items[:index], item, *items[index + 1 :])
