"""The document of a routed deployment: routes, pools, limits, workspaces."""

import enum
import functools
import typing

import attrs

from godwitglade.routing import value_checks as checks


class RequestKind(enum.Enum):
    """Whether a request may run more than once, and whether it streams."""

    IDEMPOTENT = 'idempotent'
    AT_MOST_ONCE = 'at_most_once'
    STREAM = 'stream'


@attrs.frozen
class Stage:
    """Work done before a request can run.

    ``after`` lists the indexes of the stages whose results are its inputs;
    ``result_bytes`` is the approximate size of one result.
    """

    pool: str = checks.text_field()
    after: tuple[int, ...] = ()
    result_bytes: int = checks.field(0, default=0)


@attrs.frozen
class WeightedPool:
    """A pool and its share of a route's requests."""

    name: str = checks.text_field()
    weight: float = checks.field(0, default=1.0)


@attrs.frozen
class Route:
    """Where the requests of a host name and path prefix go.

    ``rank`` orders routes by urgency, 0 first. ``objective_ms`` is the
    target response time, ``timeout_ms`` the longest time a caller waits,
    ``max_targets`` how many targets one request may be sent to. An open
    route (``needs_no_key``) needs no key. Its requests are processed in
    ``regions`` only, () for any.
    """

    name: str = checks.text_field()
    host: str = checks.text_field()
    prefix: str = checks.text_field()
    kind: RequestKind
    pools: tuple[WeightedPool, ...]
    timeout_ms: int = checks.field(0, checks.MAX_TIMEOUT_MS)
    objective_ms: int = checks.field(0, checks.MAX_TIMEOUT_MS)
    rank: int = checks.field(default=0)
    max_targets: int = checks.field(1, default=1)
    stages: tuple[Stage, ...] = ()
    needs_no_key: bool = False
    has_prompt: bool = False
    is_resumable: bool = False
    regions: tuple[str, ...] = ()

    def __attrs_post_init__(self) -> None:
        checks.stage_order([stage.after for stage in self.stages])

    @property
    def is_repeatable(self) -> bool:
        """Return whether a request of this route may run more than once."""
        return self.kind is RequestKind.IDEMPOTENT or self.is_resumable


@attrs.frozen
class Batching:
    """How the targets of a stage pool process items.

    A call of ``n`` items takes about ``call_ms + n * item_ms``. Results
    share ``result_memory_bytes`` of memory at their target until
    ``result_ttl_ms`` after their call, unless they are freed earlier.
    """

    max_items: int = checks.field(1, checks.MAX_COUNT)
    call_ms: float = checks.field(0)
    item_ms: float = checks.field(0)
    result_memory_bytes: int = checks.field(0)
    result_ttl_ms: int = checks.field(0)
    concurrency: int = checks.field(1, checks.MAX_COUNT, default=1)


@attrs.frozen
class Engine:
    """Capacity of a model engine: concurrent requests, tokens in memory."""

    slots: int = checks.field(1, checks.MAX_COUNT)
    memory_tokens: int = checks.field(0)


@attrs.frozen
class Pool:
    """A group of interchangeable targets.

    A target that has just started takes ``cold_milli_per_s`` thousandths of
    a request per second, 0 for no such limit.
    """

    name: str = checks.text_field()
    max_connections: int = checks.field(1, checks.MAX_COUNT, default=1)
    batching: Batching | None = None
    engine: Engine | None = None
    cold_milli_per_s: int = checks.field(0, default=0)


@attrs.frozen
class Limits:
    """Limits on the size of a caller's requests and on its idle times."""

    max_header_bytes: int = checks.field(1, default=16 * 1024)
    max_body_bytes: int = checks.field(0, default=4 * 1024 * 1024)
    header_timeout_ms: int = checks.field(
        1, checks.MAX_TIMEOUT_MS, default=3_000
    )
    idle_timeout_ms: int = checks.field(
        1, checks.MAX_TIMEOUT_MS, default=15_000
    )


@attrs.frozen
class Workspace:
    """A caller's account with its keys; ``rank`` overrides the route's.

    Its requests are processed in ``regions`` only, () for any.
    """

    name: str
    keys: tuple[str, ...] = attrs.field(default=(), repr=False)
    rank: int | None = None
    regions: tuple[str, ...] = ()


@attrs.frozen(slots=False)
class Document:
    """One version of the configuration that operators publish.

    With ``workspaces`` None no keys are checked; with () no key is valid.
    """

    version: int
    routes: tuple[Route, ...] = ()
    pools: typing.Mapping[str, Pool] = attrs.Factory(dict)
    limits: Limits = Limits()
    workspaces: tuple[Workspace, ...] | None = None

    def match(self, host: str, path: str) -> Route | None:
        """Return the host's route with the longest prefix of ``path``."""
        name = host.rpartition(':')[0] if ':' in host else host
        routes = self._routes_by_host.get(name.lower(), ())
        bare_path = path.partition('?')[0]
        return next(
            (r for r in routes if bare_path.startswith(r.prefix)), None
        )

    def workspace_of(self, key: str) -> Workspace | None:
        """Return the workspace that holds ``key``."""
        return self._workspaces_by_key.get(key)

    @functools.cached_property
    def _routes_by_host(self) -> dict[str, list[Route]]:
        by_length = sorted(self.routes, key=lambda r: -len(r.prefix))
        by_host: dict[str, list[Route]] = {}
        for route in by_length:
            by_host.setdefault(route.host.lower(), []).append(route)
        return by_host

    @functools.cached_property
    def _workspaces_by_key(self) -> dict[str, Workspace]:
        return {
            key: workspace
            for workspace in self.workspaces or ()
            for key in workspace.keys
        }
