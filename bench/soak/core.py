"""Runs the soak test of one seed: faults, planned changes, then neither."""

import pathlib
import random
import time
import typing

import attrs

from bench import processes
from bench.soak import callers
from bench.soak import checks
from bench.soak import clusters
from bench.soak import faults
from bench.soak import proxy
from bench.soak import stalls

#: Pause before the planned changes, so that the hosts have contacted each
#: other (contactMs).
CONTACT_WAIT_S = 4.0
#: Pause at the end, whose last part is checked (recoverS is 12 s).
RECOVERY_WAIT_S = 6.0
CHECKED_S = 3.0
#: A crashed engine is back after this time.
BACK_S = 2.0
BACK_POLL_S = 0.05
#: Share of streams that engines break off.
BREAKING_SHARE = 0.5
#: Limits that targets name, one of them below what a host alone would send.
LIMITS_MILLI_PER_S = (200, 1_300, 4_000)


@attrs.frozen
class Plan:
    """Size and duration of a soak test."""

    hosts: int = 4
    callers: int = 12
    faults_s: float = 10.0
    planned_s: float = 8.0
    mean_gap_s: float = 0.5
    crash_s: float = 0.0
    limit_s: float = 0.0
    cut_s: float = 0.0
    streams_s: float = 0.0
    answers_s: float = 0.0
    other_path: str = ''


@attrs.frozen
class Result:
    """A line for each violation, and the time that the links stalled."""

    violations: list[str]
    stalled_s: float


def run(seed: int, plan: Plan, directory: pathlib.Path) -> Result:
    """Run a seed and return its result; logs stay in ``directory``."""
    cluster = clusters.Cluster(
        directory, plan.hosts, random.Random(seed), plan.other_path
    )
    try:
        cluster.start()
        record = _run(cluster, plan)
    finally:
        cluster.stop()
    violations = [
        *checks.find_violations(record),
        *_process_faults(cluster.edges),
    ]
    return Result(
        violations, sum(s.until_s - s.from_s for s in record.link_stalls)
    )


def _run(cluster: clusters.Cluster, plan: Plan) -> checks.Record:
    detector = stalls.StallDetector()
    load = callers.Callers(cluster, plan.callers)
    load.start()
    time.sleep(1)
    crashes = _crash_targets(cluster, plan) if plan.crash_s else ()
    limits = _limit_targets(cluster, plan) if plan.limit_s else ()
    streams = _break_streams(cluster, plan) if plan.streams_s else None
    cuts = _cut_hosts(cluster, plan) if plan.cut_s else ()
    _cut_answers(cluster, plan)
    faults.inject(cluster, faults.FAULTS, plan.faults_s, plan.mean_gap_s)
    _restart_exited(cluster.edges)
    time.sleep(CONTACT_WAIT_S)
    planned_s = time.monotonic()
    faults.inject(
        cluster, faults.PLANNED_CHANGES, plan.planned_s, 2 * plan.mean_gap_s
    )
    ended_s = time.monotonic()
    time.sleep(RECOVERY_WAIT_S)
    until_s = time.monotonic()
    load.stop()
    detector.stop()
    targets = [*cluster.targets, *cluster.retired_targets]
    return checks.Record(
        requests=load.records,
        runs=sorted(
            (run for target in targets for run in target.recorded_runs),
            key=lambda run: run.at_s,
        ),
        keys=cluster.keys,
        draining_since_s={
            t.name: t.draining_since_s
            for t in targets
            if t.draining_since_s is not None
        },
        planned=checks.Phase(planned_s, until_s),
        recovered=checks.Phase(max(ended_s, until_s - CHECKED_S), until_s),
        link_stalls=detector.stalls,
        crashes=crashes,
        limits=limits,
        cuts=cuts,
        streams=streams,
    )


def _crash_targets(
    cluster: clusters.Cluster, plan: Plan
) -> tuple[checks.Crashes, ...]:
    """Let a prompt part and copies of a request crash targets.

    Hosts are killed and keys replaced meanwhile.
    """
    rng = cluster.rng
    from_s = time.monotonic()
    copies = f'{callers.COPIES_PREFIX}{rng.randrange(16):x}'
    bad_parts = frozenset({f'bad{rng.randrange(16):x}', copies})
    cluster.set_bad_parts(bad_parts)
    victims = rng.sample(cluster.edges, len(cluster.edges) // 2)
    kill_s = from_s + rng.uniform(0.5, 4.0)
    rotations_s = [from_s + rng.uniform(0.5, plan.crash_s) for _ in range(3)]
    while (now_s := time.monotonic()) < from_s + plan.crash_s:
        time.sleep(BACK_POLL_S)
        due = [
            t
            for t in cluster.targets
            if t.crashed_s is not None and now_s - t.crashed_s > BACK_S
        ]
        if due:
            cluster.replace_crashed()
        if now_s > kill_s and victims:
            for edge in victims:
                edge.process.kill()
                edge.start()
            victims = []
        if rotations_s and now_s > min(rotations_s):
            rotations_s.remove(min(rotations_s))
            cluster.rotate_keys()
    until_s = time.monotonic()
    targets = [*cluster.targets, *cluster.retired_targets]
    crashes = tuple(
        checks.Crashes(
            part,
            bad_parts,
            until_s,
            sorted(t.crashed_s for t in targets if part in t.crashed_by),
        )
        for part in sorted(bad_parts)
    )
    cluster.set_bad_parts(frozenset())
    cluster.replace_crashed()
    return crashes


def _limit_targets(
    cluster: clusters.Cluster, plan: Plan
) -> tuple[checks.Limit, ...]:
    """Let targets name limits, and terminate and kill hosts meanwhile."""
    rng = cluster.rng
    limited = {
        target: rng.choice(LIMITS_MILLI_PER_S)
        for pool in ('app', 'engine')
        for target in [t for t in cluster.targets if t.pool == pool][1:]
    }
    from_s = time.monotonic()
    for target, milli_per_s in limited.items():
        target.named_limit = f'{milli_per_s / 1_000}'
    killed, terminated = rng.sample(cluster.edges, 2)
    time.sleep(plan.limit_s * rng.uniform(0.2, 0.5))
    killed.process.kill()
    killed.start()
    terminated.stop()
    terminated.start()
    time.sleep(max(0.0, from_s + plan.limit_s - time.monotonic()))
    until_s = time.monotonic()
    for target in limited:
        target.named_limit = None
    return tuple(
        checks.Limit(target.name, milli_per_s, from_s, until_s)
        for target, milli_per_s in limited.items()
    )


def _break_streams(cluster: clusters.Cluster, plan: Plan) -> checks.Phase:
    """Let engines break off streams, and kill half of the hosts."""
    from_s = time.monotonic()
    engines = [t for t in cluster.targets if t.pool == 'engine']
    for engine in engines:
        engine.breaking_share = BREAKING_SHARE
    time.sleep(plan.streams_s / 2)
    for edge in cluster.rng.sample(cluster.edges, len(cluster.edges) // 2):
        edge.process.kill()
        edge.start()
    time.sleep(plan.streams_s / 2)
    for engine in engines:
        engine.breaking_share = 0.0
    return checks.Phase(from_s, time.monotonic())


def _cut_hosts(
    cluster: clusters.Cluster, plan: Plan
) -> tuple[checks.Cut, ...]:
    """Cut some hosts off from all targets, and kill one of them meanwhile."""
    rng = cluster.rng
    count = rng.randrange(1, len(cluster.edges))
    edges = rng.sample(cluster.edges, count)
    mode = rng.choice(faults.CUT_MODES)
    from_s = time.monotonic()
    for edge in edges:
        edge.view.mode = mode
    time.sleep(plan.cut_s)
    until_s = time.monotonic()
    edges[0].process.kill()
    edges[0].start()
    time.sleep(1)
    for edge in edges:
        edge.view.mode = proxy.Mode.PASS
    names = frozenset(edge.name for edge in edges)
    return (checks.Cut(names, from_s, until_s),)


def _cut_answers(cluster: clusters.Cluster, plan: Plan) -> None:
    """Cut and copy answers, mostly also those that a host hands on."""
    view = cluster.rng.choice(cluster.edges).view
    view.mode = cluster.rng.choice((proxy.Mode.PASS, *faults.CUT_MODES))
    faults.inject(
        cluster, faults.ANSWER_FAULTS, plan.answers_s, plan.mean_gap_s / 2
    )
    view.mode = proxy.Mode.PASS


def _restart_exited(edges: typing.Iterable[clusters.Edge]) -> None:
    for edge in edges:
        if not edge.process.is_running:
            edge.faults.append(f'{edge.name} exited unexpectedly')
            edge.start()
    for edge in edges:
        processes.await_condition(edge.is_ready, f'{edge.name} is not ready')


def _process_faults(edges: typing.Iterable[clusters.Edge]) -> list[str]:
    faults_seen = [fault for edge in edges for fault in edge.faults]
    return faults_seen + [
        f'{edge.name} logged: {line[:300]}'
        for edge in edges
        for line in edge.log_path.read_text(errors='replace').splitlines()
        if '"event": "loop_fault"' in line or line.startswith('Traceback')
    ]
