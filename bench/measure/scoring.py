"""Scores of a run, and an upper bound derived from the capacity."""

import collections
import statistics

import attrs

from bench.measure import callers
from bench.measure import cases
from godwitglade.decisions import outcomes

STEP_MS = 100


@attrs.frozen
class Score:
    """Scores of the requests that arrived after the warm-up, as shares.

    ``goodput`` is the number of answers in time relative to the oracle,
    ``wasted`` the share of stage time that no answer in time used, ``extra``
    the share of hedges and retries in the stage time, and ``cost_ms`` the
    stage time per answer in time, by stage.
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


def score(simulation, case: cases.Case) -> Score:
    """Return the scores of a completed run."""
    records = [
        record
        for record in simulation.tally.records.values()
        if record.request.fingerprint != callers.POISON
        and _arrived_ms(simulation, record) >= cases.WARM_UP_MS
    ]
    answered = [record for record in records if record.is_complete_in_time]
    costs = _costs(simulation)
    oracle_count = oracle(simulation, records)
    return Score(
        attainment=_attained_share(records),
        repeatable=_attained_share(
            record for record in records if record.is_repeatable
        ),
        non_repeatable=_attained_share(
            record for record in records if not record.is_repeatable
        ),
        small=_attained_share(
            record
            for record in records
            if record.request.workspace.startswith('small')
        ),
        refused=len(_refused(records)) / max(1, len(records)),
        goodput=len(answered) / max(1.0, oracle_count),
        wasted=costs['wasted'],
        extra=costs['extra'],
        crashed=sum(t.crashes for t in simulation.targets.values()),
        condemned=_condemned(records),
        faults=sum(simulation.tally.violations.values())
        + _unanswered(simulation),
        answered=len(answered),
        cost_ms=_cost_by_stage(simulation, answered),
        reasons=dict(collections.Counter(map(_reason, records))),
    )


def oracle(simulation, records) -> float:
    """Return the maximum number of answers in time at full capacity.

    A fluid model: the smallest pool of each pipeline serves the earliest
    deadline first and spends no time on requests that it cannot finish.
    """
    total = 0.0
    for mix in simulation.deployment.mixes:
        arrivals = sorted(
            record.request.deadline_ms
            for record in records
            if record.request.pipeline == mix.document.pipeline
        )
        rate = simulation.deployment.mix_rate(mix)
        total += _count_served(arrivals, mix.document.deadline_ms, rate)
    return total


def _count_served(
    deadlines: list[int], deadline_ms: int, rate: float
) -> float:
    """Return how many requests are served in time at a rate per second."""
    waiting: collections.deque = collections.deque()
    pending = collections.deque(deadlines)
    served, credit, now_ms = 0, 0.0, 0
    while pending or waiting:
        now_ms = now_ms + STEP_MS
        credit = min(credit, 1.0) + rate * STEP_MS / 1000
        while pending and pending[0] - deadline_ms <= now_ms:
            waiting.append(pending.popleft())
        while waiting and waiting[0] < now_ms:
            waiting.popleft()
        while waiting and credit >= 1.0:
            waiting.popleft()
            credit -= 1.0
            served += 1
    return served


def median_and_worst(values: list[float], is_higher_better: bool = True):
    """Return the median and the worst value over seeds."""
    worst = min(values) if is_higher_better else max(values)
    return statistics.median(values), worst


def _arrived_ms(simulation, record) -> float:
    document = next(
        mix.document
        for mix in simulation.deployment.mixes
        if mix.document.pipeline == record.request.pipeline
    )
    return record.request.deadline_ms - document.deadline_ms


def _attained_share(records) -> float:
    attained = [record.is_complete_in_time for record in records]
    return sum(attained) / len(attained) if attained else 1.0


def _refused(records) -> list:
    kind = outcomes.RefusedNotRun
    return [record for record in records if isinstance(record.outcome, kind)]


def _reason(record) -> str:
    if record.outcome is None:
        return 'none'
    if isinstance(record.outcome, outcomes.Answered):
        return 'answered' if record.is_complete_in_time else 'late'
    return f'{record.outcome.code}:{record.outcome.reason}'


def _condemned(records) -> int:
    return sum(
        getattr(record.outcome, 'reason', '') == outcomes.Failure.QUARANTINED
        for record in records
    )


def _unanswered(simulation) -> int:
    return sum(
        record.outcome is None for record in simulation.tally.records.values()
    )


def _costs(simulation) -> dict[str, float]:
    tally = simulation.tally
    total = sum(tally.cost_ms.values()) or 1.0
    first_by_stage: dict[tuple[str, str], str] = {}
    for attempt_id, key in tally.stage_by_attempt.items():
        first_by_stage.setdefault(key, attempt_id)
    first_attempts = set(first_by_stage.values())
    extra = sum(
        spent
        for attempt_id, spent in tally.cost_ms.items()
        if attempt_id not in first_attempts
    )
    useful = _useful_ms(simulation)
    return {'extra': extra / total, 'wasted': 1.0 - useful / total}


def _useful_ms(simulation) -> float:
    """Return the time of the longest attempt per stage of timely answers."""
    tally = simulation.tally
    by_stage: dict = collections.defaultdict(float)
    for attempt_id, spent in tally.cost_ms.items():
        key = tally.stage_by_attempt[attempt_id]
        by_stage[key] = max(by_stage[key], spent)
    return sum(
        spent
        for (request_id, _stage), spent in by_stage.items()
        if tally.records[request_id].is_complete_in_time
    )


def _cost_by_stage(simulation, answered) -> dict[str, float]:
    spent: collections.Counter = collections.Counter()
    for attempt_id, cost_ms in simulation.tally.cost_ms.items():
        request_id, stage = simulation.tally.stage_by_attempt[attempt_id]
        pipeline = simulation.tally.records[request_id].request.pipeline
        spent[f'{pipeline}.{stage}'] += cost_ms
    counts = collections.Counter(
        record.request.pipeline for record in answered
    )
    return {
        name: cost_ms / max(1, counts[name.split('.')[0]])
        for name, cost_ms in sorted(spent.items())
    }
