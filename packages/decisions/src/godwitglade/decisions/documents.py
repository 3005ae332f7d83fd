"""The document of one pipeline, as decisions use it.

`godwitglade.operators` parses YAML into these classes and validates them.
"""

import enum

import attrs

#: Path of a stage call unless the document gives another.
DEFAULT_PATH = '/v1/run'
ENGINE_PATH = '/v1/completions'


class StageKind(enum.Enum):
    """What a stage does; model engines serve only GENERATE."""

    ENCODE = 'encode'
    RETRIEVE = 'retrieve'
    RERANK = 'rerank'
    GENERATE = 'generate'
    CALL = 'call'


@attrs.frozen
class Model:
    """A model to serve, its version and the adapters loaded with it."""

    name: str
    version: str
    adapters: tuple[str, ...] = ()


@attrs.frozen
class Stage:
    """One stage of a pipeline; it runs on any target of ``pool``.

    ``budget_ms`` bounds one attempt. ``is_repeatable`` False means that the
    stage runs at most once for an idempotency key. ``in_answer`` puts the
    stage's output into the caller's answer; the last stage is always in it.
    """

    name: str
    kind: StageKind
    pool: str
    budget_ms: int
    is_repeatable: bool = True
    is_hedged: bool = False
    in_answer: bool = False
    path: str = DEFAULT_PATH
    model: Model | None = None

    @property
    def call_path(self) -> str:
        """Return the path of a call; engines have one of their own."""
        is_engine = self.kind is StageKind.GENERATE
        if is_engine and self.path == DEFAULT_PATH:
            return ENGINE_PATH
        return self.path


@attrs.frozen
class Workspace:
    """A workspace's weight in fair sharing and its limit.

    ``max_in_flight`` counts requests over all hosts; None for no limit.
    """

    name: str
    share: int = 1
    max_in_flight: int | None = None


@attrs.frozen
class Pool:
    """Properties of a pool of targets that the host list does not give.

    ``checks_fencing`` says that its engines refuse old fencing numbers.
    """

    name: str
    checks_fencing: bool = False
    max_in_flight_per_target: int = 32


@attrs.frozen
class Document:
    """One pipeline: its stages, deadline, priorities and workspaces.

    ``priorities`` maps a name that callers use to a rank; lower ranks go
    first. ``default_priority`` is one of its names.
    """

    pipeline: str
    team: str
    deadline_ms: int
    stages: tuple[Stage, ...]
    workspaces: tuple[Workspace, ...]
    pools: tuple[Pool, ...] = ()
    priorities: dict[str, int] = attrs.Factory(lambda: {'normal': 1})
    default_priority: str = 'normal'

    def workspace(self, name: str) -> Workspace | None:
        """Return the workspace ``name``, None when not listed."""
        return next((w for w in self.workspaces if w.name == name), None)

    def pool(self, name: str) -> Pool:
        """Return the pool ``name``, with defaults when not listed."""
        found = (pool for pool in self.pools if pool.name == name)
        return next(found, Pool(name))

    @property
    def has_non_repeatable(self) -> bool:
        """Tell whether some stage must not be repeated."""
        return any(not stage.is_repeatable for stage in self.stages)
