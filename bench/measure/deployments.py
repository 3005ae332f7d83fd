"""Documents and fake targets of two reference deployments."""

import itertools
import random

import attrs

from bench.measure import fake_targets
from godwitglade.decisions import documents
from godwitglade.decisions import targets

Kind = documents.StageKind

#: Mean slowdown by stragglers; drawn times are divided by it, so that the
#: mean service time stays as configured.
MEAN_STRAGGLER_FACTOR = 1.0 + fake_targets.STRAGGLER_SHARE * (
    fake_targets.STRAGGLER_FACTOR - 1
)

ENGINE = fake_targets.TargetProfile(
    slots=16,
    max_queue=16,
    step_base_ms=12.0,
    step_per_call_ms=0.8,
    prefill_ms=240.0,
    cached_prefill_ms=30.0,
    cached_prefixes=4,
)


@attrs.frozen
class Service:
    """A pool of plain services: its size and mean service time."""

    pool: str
    count: int
    slots: int
    mean_ms: float


@attrs.frozen
class Mix:
    """Share of a pipeline in the requests, and its response sizes."""

    document: documents.Document
    share: float
    mean_tokens: int = 0
    stream_share: float = 0.0


@attrs.frozen
class Deployment:
    """Zones, targets and pipelines of one user.

    ``capacity`` is the rate in requests per second that saturates the first
    pool when every prefix is cached.
    """

    name: str
    zones: tuple[str, ...]
    engine_pool: str
    engine_count: int
    services: tuple[Service, ...]
    mixes: tuple[Mix, ...]
    one_way_ms: float
    host_count: int = 9

    def targets(self) -> list[targets.Target]:
        """Return all targets, distributed round-robin over the zones."""
        pools = [(self.engine_pool, self.engine_count)]
        pools += [(s.pool, s.count) for s in self.services]
        zones = itertools.cycle(self.zones)
        return [
            targets.Target(f'{pool}-{i}', pool, next(zones), f'{pool}:{i}')
            for pool, count in pools
            for i in range(count)
        ]

    def profile(self, pool: str) -> fake_targets.TargetProfile:
        """Return the profile of the targets of a pool."""
        if pool == self.engine_pool:
            return ENGINE
        service = self.service(pool)
        return fake_targets.TargetProfile(service.slots, 3 * service.slots)

    def service(self, pool: str) -> Service:
        """Return the plain service of a pool."""
        return next(s for s in self.services if s.pool == pool)

    @property
    def capacity(self) -> float:
        """Return the requests per second that all pools can serve."""
        return min(
            self._pool_rate(pool) / demand
            for pool, demand in self._demand().items()
        )

    def mix_rate(self, mix: Mix) -> float:
        """Return the requests per second of the pipeline's smallest pool."""
        return min(self._pool_rate(s.pool) for s in mix.document.stages)

    def _demand(self) -> dict[str, float]:
        demand: dict[str, float] = {}
        for mix in self.mixes:
            for stage in mix.document.stages:
                share = demand.get(stage.pool, 0.0) + mix.share
                demand[stage.pool] = share
        return demand

    def _pool_rate(self, pool: str) -> float:
        if pool != self.engine_pool:
            service = self.service(pool)
            return service.count * service.slots * 1000 / service.mean_ms
        tokens = next(m.mean_tokens for m in self.mixes if m.mean_tokens)
        profile = ENGINE
        one_ms = profile.step_base_ms + profile.step_per_call_ms
        full_ms = (
            profile.step_base_ms + profile.step_per_call_ms * profile.slots
        )
        steps = tokens + profile.cached_prefill_ms / one_ms
        rate = profile.slots * 1000 / (full_ms * steps)
        return self.engine_count * rate

    def draw_work(
        self, stage: documents.Stage, mix: Mix, rng: random.Random
    ) -> fake_targets.Work:
        """Draw the work of one request at a stage."""
        if stage.pool == self.engine_pool:
            size_factor = rng.choice((0.5, 0.75, 1.0, 1.0, 1.25, 1.5))
            return fake_targets.Work(tokens=int(mix.mean_tokens * size_factor))
        mean_ms = self.service(stage.pool).mean_ms
        drawn_ms = rng.gammavariate(4.0, mean_ms / 4.0)
        return fake_targets.Work(service_ms=drawn_ms / MEAN_STRAGGLER_FACTOR)


def _stage(name, kind, pool, budget_ms, **changes) -> documents.Stage:
    is_hedged = changes.get('is_repeatable', True)
    return documents.Stage(
        name, kind, pool, budget_ms, is_hedged=is_hedged, **changes
    )


_WORKSPACES = (
    documents.Workspace('large-1', share=4),
    documents.Workspace('large-2', share=4),
    documents.Workspace('small-1'),
    documents.Workspace('small-2'),
    documents.Workspace('small-3'),
)

ONBOARDING = Deployment(
    name='onboarding',
    zones=('north-1', 'north-2', 'north-3'),
    engine_pool='language-models',
    engine_count=6,
    services=(
        Service('document-store', 3, 4, 200.0),
        Service('onboarding-application', 3, 2, 250.0),
        Service('agency-desk', 3, 3, 220.0),
        Service('notifications', 3, 2, 300.0),
    ),
    mixes=(
        Mix(
            documents.Document(
                'explain',
                'onboarding',
                8_000,
                (
                    _stage('fetch', Kind.RETRIEVE, 'document-store', 2_000),
                    _stage('rank', Kind.RERANK, 'agency-desk', 2_000),
                    _stage('write', Kind.GENERATE, 'language-models', 8_000),
                ),
                _WORKSPACES,
            ),
            share=0.7,
            mean_tokens=120,
            stream_share=0.5,
        ),
        Mix(
            documents.Document(
                'activate',
                'onboarding',
                5_000,
                (
                    _stage('check', Kind.CALL, 'document-store', 2_000),
                    _stage(
                        'create',
                        Kind.CALL,
                        'onboarding-application',
                        4_000,
                        is_repeatable=False,
                        in_answer=True,
                    ),
                    _stage('notify', Kind.CALL, 'notifications', 2_000),
                ),
                _WORKSPACES,
            ),
            share=0.3,
        ),
    ),
    one_way_ms=1.5,
)

TOUCHLINE = Deployment(
    name='touchline',
    zones=('west-1', 'west-2', 'west-3', 'west-4'),
    engine_pool='review-models',
    engine_count=6,
    services=(
        Service('squad-records', 4, 1, 250.0),
        Service('footage-ingest', 4, 4, 450.0),
        Service('event-tagger', 4, 3, 350.0),
        Service('coach-portal', 4, 2, 400.0),
    ),
    mixes=(
        Mix(
            documents.Document(
                'review',
                'touchline',
                10_000,
                (
                    _stage('encode', Kind.ENCODE, 'footage-ingest', 3_000),
                    _stage('tag', Kind.RERANK, 'event-tagger', 3_000),
                    _stage('write', Kind.GENERATE, 'review-models', 9_000),
                ),
                _WORKSPACES,
            ),
            share=0.8,
            mean_tokens=150,
            stream_share=0.5,
        ),
        Mix(
            documents.Document(
                'squad',
                'touchline',
                4_000,
                (
                    _stage(
                        'update',
                        Kind.CALL,
                        'squad-records',
                        3_500,
                        is_repeatable=False,
                        in_answer=True,
                    ),
                    _stage('publish', Kind.CALL, 'coach-portal', 2_000),
                ),
                _WORKSPACES,
            ),
            share=0.2,
        ),
    ),
    one_way_ms=1.0,
)

ALL = (ONBOARDING, TOUCHLINE)
