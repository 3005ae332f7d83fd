"""The document that describes one pipeline.

`godwitglade.operators` parses YAML into these classes and validates them.
"""

import enum

import attrs

#: Path of a stage call unless the document specifies another.
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
    """A model to serve, with its version and adapters."""

    name: str
    version: str
    adapters: tuple[str, ...] = ()


@attrs.frozen
class Stage:
    """One stage of a pipeline; it runs on any target of ``pool``.

    ``budget_ms`` bounds one attempt. A stage that is not ``is_repeatable``
    runs at most once per idempotency key. ``in_answer`` includes the
    stage's output in the caller's answer, which always includes the output
    of the last stage.
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
        """Return the path of a call; engines have a different default."""
        is_engine = self.kind is StageKind.GENERATE
        if is_engine and self.path == DEFAULT_PATH:
            return ENGINE_PATH
        return self.path


@attrs.frozen
class Workspace:
    """A workspace's weight in fair scheduling and its limit.

    ``max_in_flight`` limits its requests on all hosts together; None means
    no limit.
    """

    name: str
    share: int = 1
    max_in_flight: int | None = None


@attrs.frozen
class Pool:
    """Properties of a pool of targets that the host list does not contain.

    ``checks_fencing`` means that its engines refuse old fencing numbers.
    """

    name: str
    checks_fencing: bool = False
    max_in_flight_per_target: int = 32


@attrs.frozen
class Document:
    """One pipeline: its stages, deadline, priorities and workspaces.

    ``priorities`` maps the names that callers use to ranks; lower ranks are
    served first. ``default_priority`` is one of these names.
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
        """Return the workspace ``name``, None if it is not listed."""
        return next((w for w in self.workspaces if w.name == name), None)

    def pool(self, name: str) -> Pool:
        """Return the pool ``name``, with defaults if it is not listed."""
        listed = (pool for pool in self.pools if pool.name == name)
        return next(listed, Pool(name))

    @property
    def has_non_repeatable(self) -> bool:
        """Tell whether any stage must not be repeated."""
        return any(not stage.is_repeatable for stage in self.stages)
