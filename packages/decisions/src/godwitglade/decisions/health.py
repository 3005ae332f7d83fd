"""Ejection of targets that fail or are much slower than their pool.

An ejected target returns only after a probe on a new connection succeeds,
and then serves a single call at a time. Each further ejection within
``BACKOFF_RESET_MS`` lasts twice as long, so that a target that fails
intermittently stays out of use.
"""

import statistics

from godwitglade.coordination import effects as coordination_effects
from godwitglade.decisions import context as contexts
from godwitglade.decisions import directory
from godwitglade.decisions import effects
from godwitglade.decisions import messages

FIRST_EJECTION_MS = 3_000
MAX_EJECTION_MS = 30_000
#: After this time without an ejection the next one is short again.
BACKOFF_RESET_MS = 60_000
#: Consecutive failures that eject a target.
MAX_FAILURES = 3
#: A target this many times slower than its pool is ejected.
SLOW_FACTOR = 3.0
#: Times of a target this many times slower than its pool are not used to
#: estimate the times of its stages.
UNUSUAL_FACTOR = 2.0
#: Share of a pool that may be ejected.
MAX_EJECTED_SHARE = 0.5
#: Recent overdue calls that eject a target whose pool has few of them.
MAX_OVERDUE = 1.5

#: A load report older than this is refreshed.
STALE_MS = 500
#: Load reports requested in one tick.
MAX_REFRESHED = 2

#: Factor applied to the count of overdue calls at each tick.
OVERDUE_DECAY = 0.98

_SMOOTHING = 0.3
_MIN_SAMPLES = 4


def record_success(tracked: directory.TrackedTarget, ratio: float) -> None:
    """Record a reply; ``ratio`` is its time over the stage's mean."""
    tracked.failures = 0
    tracked.is_on_trial = tracked.is_on_trial and ratio > SLOW_FACTOR
    tracked.samples += 1
    gain = max(_SMOOTHING, 1.0 / tracked.samples)
    tracked.slowness += gain * (ratio - tracked.slowness)


def is_typical(
    context: contexts.Context, tracked: directory.TrackedTarget | None
) -> bool:
    """Tell whether a target's times are typical of its pool."""
    if tracked is None or tracked.is_ejected:
        return False
    pool = context.directory.pool(tracked.target.pool)
    others = [
        t.slowness
        for t in pool
        if t is not tracked and t.samples >= _MIN_SAMPLES
    ]
    if not others or tracked.samples < _MIN_SAMPLES:
        return True
    usual = statistics.median_low(others)
    return tracked.slowness <= UNUSUAL_FACTOR * max(1.0, usual)


def has_queue(tracked: directory.TrackedTarget | None) -> bool:
    """Tell whether a target reported queued calls."""
    return (
        tracked is not None
        and tracked.load is not None
        and tracked.load.queued > 0
    )


def is_busy(pool: list[directory.TrackedTarget]) -> bool:
    """Tell whether most targets of a pool reported queued calls."""
    return sum(map(has_queue, pool)) > len(pool) / 2


def record_failure(
    context: contexts.Context,
    tracked: directory.TrackedTarget,
    message: messages.StageFault,
    now_ms: int,
) -> contexts.Effects:
    """Record a failed call and eject the target if necessary.

    A failed connect or a crash ejects at once, other failures after
    ``MAX_FAILURES`` in a row. Time-outs in a busy pool do not count.
    """
    kinds = messages.FaultKind
    if message.kind in (kinds.BUSY, kinds.LEAVING, kinds.REJECTED):
        return []
    pool = context.directory.pool(tracked.target.pool)
    if message.kind in (kinds.TIMEOUT, kinds.SILENT) and is_busy(pool):
        return []
    tracked.failures += 1
    is_gone = message.kind is kinds.CONNECT or message.is_crash
    if not is_gone and tracked.failures < MAX_FAILURES:
        return []
    return eject(context, tracked, now_ms)


def record_overdue(
    context: contexts.Context,
    tracked: directory.TrackedTarget,
    now_ms: int,
) -> contexts.Effects:
    """Record a call in flight for far longer than its stage takes."""
    pool = context.directory.pool(tracked.target.pool)
    if is_busy(pool):
        return []
    others = [other for other in pool if other is not tracked]
    tracked.overdue_calls += 1
    usual = (
        statistics.fmean(t.overdue_calls for t in others) if others else 0.0
    )
    is_over_limit = tracked.is_on_trial or tracked.overdue_calls >= MAX_OVERDUE
    if not is_over_limit or tracked.overdue_calls < 2 * usual:
        return []
    return eject(context, tracked, now_ms)


def eject(
    context: contexts.Context,
    tracked: directory.TrackedTarget,
    now_ms: int,
    is_own_observation: bool = True,
) -> contexts.Effects:
    """Eject a target unless too much of its pool is ejected already.

    Only ejections that this host observed itself are published, so that
    one report does not multiply as hosts repeat it.
    """
    is_off = not context.settings.is_ejection_on
    if is_off or tracked.is_ejected or not _may_eject(context, tracked):
        return []
    if now_ms - tracked.last_ejected_ms > BACKOFF_RESET_MS:
        tracked.ejection_ms = FIRST_EJECTION_MS
    else:
        tracked.ejection_ms = min(MAX_EJECTION_MS, 2 * tracked.ejection_ms)
    tracked.is_ejected = True
    tracked.last_ejected_ms = now_ms
    tracked.probe_at_ms = now_ms + tracked.ejection_ms
    if not is_own_observation:
        return []
    fact = coordination_effects.PublishFact(
        'ejected', tracked.name, True, tracked.ejection_ms, is_urgent=True
    )
    return [fact]


def record_peer_ejection(
    context: contexts.Context,
    tracked: directory.TrackedTarget,
    origin: str,
    now_ms: int,
) -> contexts.Effects:
    """Record that another host ejected a target, and eject it if confirmed.

    Two hosts have to report it, or one host if this host has a recent
    overdue call to the target: a single host may only have lost its own
    network path to the target.
    """
    tracked.peer_ejections_ms[origin] = now_ms
    recent = [
        at_ms
        for at_ms in tracked.peer_ejections_ms.values()
        if now_ms - at_ms < FIRST_EJECTION_MS
    ]
    if is_busy(context.directory.pool(tracked.target.pool)):
        return []
    if len(recent) + bool(tracked.overdue_calls >= MAX_OVERDUE / 3) < 2:
        return []
    return eject(context, tracked, now_ms, is_own_observation=False)


def check(context: contexts.Context, now_ms: int) -> contexts.Effects:
    """Eject slow targets and probe those whose ejection has expired."""
    done: contexts.Effects = []
    for pool in context.directory.pools().values():
        for tracked in _slow_targets(pool):
            done += eject(context, tracked, now_ms)
        for tracked in pool:
            tracked.overdue_calls *= OVERDUE_DECAY
            if tracked.is_ejected and now_ms >= tracked.probe_at_ms:
                done += probe(context, tracked, now_ms)
    return done


def refresh_loads(context: contexts.Context, now_ms: int) -> contexts.Effects:
    """Probe a few targets with calls in flight and no recent load."""
    stale = [
        tracked
        for pool in context.directory.pools().values()
        for tracked in pool
        if tracked.in_flight
        and tracked.probe_sent_ms is None
        and now_ms - tracked.load_ms > STALE_MS
    ]
    stale.sort(key=lambda tracked: tracked.load_ms)
    return [
        effect
        for tracked in stale[:MAX_REFRESHED]
        for effect in probe(context, tracked, now_ms, is_suspect=False)
    ]


def probe(
    context: contexts.Context,
    tracked: directory.TrackedTarget,
    now_ms: int,
    is_suspect: bool = True,
) -> contexts.Effects:
    """Probe a target on a new connection, one probe at a time.

    The reply includes the target's load. With ``is_suspect``, the
    connections opened earlier are closed if the probe succeeds.
    """
    tracked.is_suspect |= is_suspect
    if tracked.probe_sent_ms is not None:
        return []
    tracked.probe_sent_ms = now_ms
    timeout_ms = context.settings.probe_timeout_ms
    return [effects.ProbeTarget(tracked.target, timeout_ms)]


def record_probe(
    tracked: directory.TrackedTarget, is_alive: bool, now_ms: int
) -> contexts.Effects:
    """Record the end of a probe; readmit an ejected target that answered.

    Earlier connections of a suspect target are dropped, since they may be
    dead although the target is alive.
    """
    tracked.probe_sent_ms = None
    if not is_alive:
        if tracked.is_ejected:
            tracked.ejection_ms = min(MAX_EJECTION_MS, 2 * tracked.ejection_ms)
            tracked.probe_at_ms = now_ms + tracked.ejection_ms
        return []
    if tracked.is_ejected and now_ms >= tracked.probe_at_ms:
        tracked.is_ejected = False
        tracked.failures = MAX_FAILURES - 1
        tracked.overdue_calls = 0.0
        tracked.samples = 0
        tracked.slowness = 1.0
        tracked.limit = 1.0
        tracked.is_on_trial = True
    if not tracked.is_suspect:
        return []
    tracked.is_suspect = False
    return [effects.DropConnections(tracked.target)]


def _may_eject(
    context: contexts.Context, tracked: directory.TrackedTarget
) -> bool:
    pool = context.directory.pool(tracked.target.pool)
    ejected = sum(other.is_ejected for other in pool)
    return (ejected + 1) <= MAX_EJECTED_SHARE * len(pool)


def _slow_targets(
    pool: list[directory.TrackedTarget],
) -> list[directory.TrackedTarget]:
    measured = [t for t in pool if t.samples >= _MIN_SAMPLES]
    if len(measured) < 2:
        return []
    usual = statistics.median_low(t.slowness for t in measured)
    return [
        t
        for t in measured
        if not t.is_ejected and t.slowness > SLOW_FACTOR * usual
    ]
