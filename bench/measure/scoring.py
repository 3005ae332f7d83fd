"""Figures of one run, and an oracle that knows the capacity."""

import collections
import statistics

import attrs

from bench.measure import callers
from bench.measure import cases
from godwitglade.decisions import outcomes

BIN_MS = 100


@attrs.frozen
class Score:
    """Shares are of requests that arrived after the warm-up.

    ``goodput`` is the answers in time as a share of the oracle's,
    ``wasted`` the stage time that no answer in time used, ``extra`` the
    stage time of hedges and retries, ``cost_ms`` by stage for one answer.
    """

    attainment: float
    repeatable: float
    non_repeatable: float
    small: float
    refused: float
    goodput: float
    wasted: float
    extra: float
    crashed: int
    condemned: int
    faults: int
    answered: int
    cost_ms: dict[str, float]
    reasons: dict[str, int]


def score(world, case: cases.Case) -> Score:
    """Return the figures of a run that has ended."""
    asked = [
        a
        for a in world.tally.asked.values()
        if a.request.fingerprint != callers.POISON
        and _arrived_ms(world, a) >= cases.WARM_UP_MS
    ]
    answered = [a for a in asked if a.is_whole_in_time]
    costs = _costs(world)
    possible = oracle(world, asked)
    return Score(
        attainment=_share(asked),
        repeatable=_share(a for a in asked if a.is_repeatable),
        non_repeatable=_share(a for a in asked if not a.is_repeatable),
        small=_share(
            a for a in asked if a.request.workspace.startswith('small')
        ),
        refused=len(_refused(asked)) / max(1, len(asked)),
        goodput=len(answered) / max(1.0, possible),
        wasted=costs['wasted'],
        extra=costs['extra'],
        crashed=sum(t.crashes for t in world.targets.values()),
        condemned=_condemned(asked),
        faults=sum(world.tally.faults.values()) + _unanswered(world),
        answered=len(answered),
        cost_ms=_cost_by_stage(world, answered),
        reasons=dict(collections.Counter(map(_reason, asked))),
    )


def oracle(world, asked) -> float:
    """Return how many answers in time the capacity allows at most.

    A fluid model: each pipeline's narrowest pool serves the earliest
    deadline first and never spends time on what it cannot finish.
    """
    total = 0.0
    for mix in world.deployment.mixes:
        arrivals = sorted(
            a.request.deadline_ms
            for a in asked
            if a.request.pipeline == mix.document.pipeline
        )
        rate = world.deployment.mix_rate(mix)
        total += _fluid(arrivals, mix.document.deadline_ms, rate)
    return total


def _fluid(deadlines: list[int], deadline_ms: int, rate: float) -> float:
    """Return how many of the arrivals a rate a second serves in time."""
    waiting: collections.deque = collections.deque()
    pending = collections.deque(deadlines)
    served, credit, now_ms = 0, 0.0, 0
    while pending or waiting:
        now_ms = now_ms + BIN_MS
        credit = min(credit, 1.0) + rate * BIN_MS / 1000
        while pending and pending[0] - deadline_ms <= now_ms:
            waiting.append(pending.popleft())
        while waiting and waiting[0] < now_ms:
            waiting.popleft()
        while waiting and credit >= 1.0:
            waiting.popleft()
            credit -= 1.0
            served += 1
    return served


def median_and_worst(values: list[float], is_high_good: bool = True):
    """Return the median and the worst of a figure over seeds."""
    worst = min(values) if is_high_good else max(values)
    return statistics.median(values), worst


def _arrived_ms(world, asked) -> float:
    document = next(
        mix.document
        for mix in world.deployment.mixes
        if mix.document.pipeline == asked.request.pipeline
    )
    return asked.request.deadline_ms - document.deadline_ms


def _share(asked) -> float:
    counted = [a.is_whole_in_time for a in asked]
    return sum(counted) / len(counted) if counted else 1.0


def _refused(asked) -> list:
    kind = outcomes.RefusedNotRun
    return [a for a in asked if isinstance(a.outcome, kind)]


def _reason(asked) -> str:
    if asked.outcome is None:
        return 'none'
    if isinstance(asked.outcome, outcomes.Answered):
        return 'answered' if asked.is_whole_in_time else 'late'
    return f'{asked.outcome.code}:{asked.outcome.reason}'


def _condemned(asked) -> int:
    return sum(
        getattr(a.outcome, 'reason', '') == outcomes.Failure.QUARANTINED
        for a in asked
    )


def _unanswered(world) -> int:
    return sum(a.outcome is None for a in world.tally.asked.values())


def _costs(world) -> dict[str, float]:
    tally = world.tally
    total = sum(tally.cost_ms.values()) or 1.0
    first: dict[tuple[str, str], str] = {}
    for attempt_id, key in tally.attempt_of.items():
        first.setdefault(key, attempt_id)
    firsts = set(first.values())
    extra = sum(
        spent
        for attempt_id, spent in tally.cost_ms.items()
        if attempt_id not in firsts
    )
    useful = _useful(world)
    return {'extra': extra / total, 'wasted': 1.0 - useful / total}


def _useful(world) -> float:
    """Return the stage time of one attempt a stage of answers in time."""
    tally = world.tally
    by_stage: dict = collections.defaultdict(float)
    for attempt_id, spent in tally.cost_ms.items():
        key = tally.attempt_of[attempt_id]
        by_stage[key] = max(by_stage[key], spent)
    return sum(
        spent
        for (request_id, _stage), spent in by_stage.items()
        if tally.asked[request_id].is_whole_in_time
    )


def _cost_by_stage(world, answered) -> dict[str, float]:
    spent: collections.Counter = collections.Counter()
    for attempt_id, cost_ms in world.tally.cost_ms.items():
        request_id, stage = world.tally.attempt_of[attempt_id]
        pipeline = world.tally.asked[request_id].request.pipeline
        spent[f'{pipeline}.{stage}'] += cost_ms
    counts = collections.Counter(a.request.pipeline for a in answered)
    return {
        name: cost_ms / max(1, counts[name.split('.')[0]])
        for name, cost_ms in sorted(spent.items())
    }
