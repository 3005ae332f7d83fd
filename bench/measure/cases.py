"""The load and the faults of each case."""

import typing

import attrs

from bench.measure import world as worlds
from godwitglade.decisions import documents

WARM_UP_MS = 15_000
FAULT_MS = 20_000
CALM = 0.6

Inject = typing.Callable[[worlds.World], None]


@attrs.frozen
class Case:
    """Arrivals as a share of capacity over time, and faults.

    ``burst`` is the share of capacity between `FAULT_MS` and
    ``burst_end_ms``; ``burst_kind`` None lets every pipeline burst, else
    only those that use the engines. ``greedy`` multiplies what the first
    large workspace sends.
    """

    name: str
    faults: tuple[Inject, ...] = ()
    duration_ms: int = 50_000
    calm: float = CALM
    burst: float = CALM
    burst_end_ms: int = 50_000
    is_engine_burst: bool = False
    greedy: float = 1.0
    has_poison: bool = False

    def load(self, now_ms: float, has_engine: bool) -> float:
        """Return the arrivals as a share of capacity."""
        is_burst = FAULT_MS <= now_ms < self.burst_end_ms
        if is_burst and (has_engine or not self.is_engine_burst):
            return self.burst
        return self.calm


def slow_target(world: worlds.World) -> None:
    """Make one engine ten times slower."""
    name = f'{world.deployment.engine_pool}-0'
    world.targets[name].slowness = 10.0


def dead_target(world: worlds.World) -> None:
    """Take one engine down for good."""
    world.targets[f'{world.deployment.engine_pool}-1'].crash(1e12)


def slow_service(world: worlds.World) -> None:
    """Make one target of the first plain service ten times slower."""
    name = f'{world.deployment.services[0].pool}-0'
    world.targets[name].slowness = 10.0


def leaving_third(world: worlds.World) -> None:
    """Let a third of the engines leave."""
    for number in (2, 3):
        name = f'{world.deployment.engine_pool}-{number}'
        world.targets[name].is_leaving = True


def cut_zone(world: worlds.World) -> None:
    """Cut a data centre off for 15 s."""
    zone = world.deployment.zones[0]
    world.cut_zones.add(zone)
    world.clock.after(15_000, world.cut_zones.discard, zone)


def store_down(world: worlds.World) -> None:
    """Take the table service down to the end of the case."""
    world.table.is_down = True


def silent_links(world: worlds.World) -> None:
    """Let open connections of every host to a third of targets go silent."""
    for entry in world.entries:
        names = sorted(world.targets)
        entry.silent.update(world.rng.sample(names, len(names) // 3))


def uses_engine(mix, deployment) -> bool:
    """Tell whether a pipeline generates text."""
    kinds = {stage.kind for stage in mix.document.stages}
    return documents.StageKind.GENERATE in kinds


SINGLE = (
    Case('calm 60%'),
    Case('burst 1.5x one stage', burst=1.5, is_engine_burst=True),
    Case('burst 3x one stage', burst=3.0, is_engine_burst=True),
    Case('burst 1.5x all', burst=1.5),
    Case('burst 3x all', burst=3.0),
    Case('slow target', (slow_target,)),
    Case('slow service', (slow_service,)),
    Case('dead target', (dead_target,)),
    Case('third leaving', (leaving_third,)),
    Case('zone cut off', (cut_zone,)),
    Case('store down 5 min', (store_down,), duration_ms=320_000),
    Case('crashing request', has_poison=True),
    Case('silent connections', (silent_links,)),
    Case('workspace 20x', greedy=20.0),
)
PAIRS = (
    Case('burst 3x + dead', (dead_target,), burst=3.0),
    Case('burst 1.5x + slow', (slow_target,), burst=1.5),
    Case('slow + leaving', (slow_target, leaving_third)),
    Case('cut off + store down', (cut_zone, store_down)),
    Case('20x + silent', (silent_links,), greedy=20.0),
    Case('crashing + dead', (dead_target,), has_poison=True),
)
LOADS = tuple(
    Case(f'load {load:g}x', calm=load, burst=load, duration_ms=40_000)
    for load in (1.0, 1.5, 2.0, 3.0, 5.0, 10.0)
)
