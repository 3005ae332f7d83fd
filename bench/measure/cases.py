"""Load and injected faults of each simulated case."""

import typing

import attrs

from bench.measure import simulation as simulations
from godwitglade.decisions import documents

WARM_UP_MS = 15_000
FAULT_MS = 20_000
BASE_LOAD = 0.6

FaultInjector = typing.Callable[[simulations.Simulation], None]


@attrs.frozen
class Case:
    """Request rate as a share of capacity over time, and faults.

    ``burst_load`` applies between `FAULT_MS` and ``burst_end_ms``, to the
    pipelines that use engines only if ``is_engine_burst``, else to all.
    ``large_workspace_factor`` multiplies the requests of the first large
    workspace.
    """

    name: str
    faults: tuple[FaultInjector, ...] = ()
    duration_ms: int = 50_000
    base_load: float = BASE_LOAD
    burst_load: float = BASE_LOAD
    burst_end_ms: int = 50_000
    is_engine_burst: bool = False
    large_workspace_factor: float = 1.0
    has_poison: bool = False

    def load(self, now_ms: float, has_engine: bool) -> float:
        """Return the request rate as a share of capacity."""
        is_burst = FAULT_MS <= now_ms < self.burst_end_ms
        if is_burst and (has_engine or not self.is_engine_burst):
            return self.burst_load
        return self.base_load


def slow_engine(simulation: simulations.Simulation) -> None:
    """Slow one engine down by a factor of ten."""
    name = f'{simulation.deployment.engine_pool}-0'
    simulation.targets[name].slowdown_factor = 10.0


def crash_engine(simulation: simulations.Simulation) -> None:
    """Crash one engine without a restart."""
    simulation.targets[f'{simulation.deployment.engine_pool}-1'].crash(1e12)


def slow_service(simulation: simulations.Simulation) -> None:
    """Slow one target of the first plain service down by a factor of ten."""
    name = f'{simulation.deployment.services[0].pool}-0'
    simulation.targets[name].slowdown_factor = 10.0


def drain_engines(simulation: simulations.Simulation) -> None:
    """Mark a third of the engines as leaving."""
    for number in (2, 3):
        name = f'{simulation.deployment.engine_pool}-{number}'
        simulation.targets[name].is_leaving = True


def isolate_zone(simulation: simulations.Simulation) -> None:
    """Isolate a data centre from the others for 15 s."""
    zone = simulation.deployment.zones[0]
    simulation.isolated_zones.add(zone)
    simulation.clock.call_after(
        15_000, simulation.isolated_zones.discard, zone
    )


def stop_store(simulation: simulations.Simulation) -> None:
    """Stop the table service until the end of the case."""
    simulation.table.is_down = True


def silence_connections(simulation: simulations.Simulation) -> None:
    """Drop traffic on open connections of each host to a third of targets."""
    for entry in simulation.entries:
        names = sorted(simulation.targets)
        entry.silent_targets.update(
            simulation.rng.sample(names, len(names) // 3)
        )


def uses_engine(mix, deployment) -> bool:
    """Return whether a pipeline generates text."""
    kinds = {stage.kind for stage in mix.document.stages}
    return documents.StageKind.GENERATE in kinds


SINGLE = (
    Case('calm 60%'),
    Case('burst 1.5x one stage', burst_load=1.5, is_engine_burst=True),
    Case('burst 3x one stage', burst_load=3.0, is_engine_burst=True),
    Case('burst 1.5x all', burst_load=1.5),
    Case('burst 3x all', burst_load=3.0),
    Case('slow target', (slow_engine,)),
    Case('slow service', (slow_service,)),
    Case('dead target', (crash_engine,)),
    Case('third leaving', (drain_engines,)),
    Case('zone cut off', (isolate_zone,)),
    Case('store down 5 min', (stop_store,), duration_ms=320_000),
    Case('crashing request', has_poison=True),
    Case('silent connections', (silence_connections,)),
    Case('workspace 20x', large_workspace_factor=20.0),
)
PAIRS = (
    Case('burst 3x + dead', (crash_engine,), burst_load=3.0),
    Case('burst 1.5x + slow', (slow_engine,), burst_load=1.5),
    Case('slow + leaving', (slow_engine, drain_engines)),
    Case('cut off + store down', (isolate_zone, stop_store)),
    Case('20x + silent', (silence_connections,), large_workspace_factor=20.0),
    Case('crashing + dead', (crash_engine,), has_poison=True),
)
LOADS = tuple(
    Case(
        f'load {load:g}x', base_load=load, burst_load=load, duration_ms=40_000
    )
    for load in (1.0, 1.5, 2.0, 3.0, 5.0, 10.0)
)
