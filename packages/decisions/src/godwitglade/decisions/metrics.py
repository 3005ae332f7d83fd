"""Metrics of a pipeline: its outcomes and the cost of each stage.

Metric names contain pipelines and stages, which are few and come from
documents. They contain no workspaces or targets, which are many.
"""

import itertools

from godwitglade.coordination import effects
from godwitglade.decisions import jobs
from godwitglade.decisions import outcomes


def measure_job(
    job: jobs.Job, outcome: outcomes.Outcome, now_ms: int
) -> list[effects.Count | effects.Timing]:
    """Return the metrics of a job that ended with ``outcome``."""
    pipeline = job.document.pipeline
    stages = (_measure_stage(pipeline, report) for report in job.reports)
    return [
        effects.Count(f'pipelines.{pipeline}.{outcome.code}'),
        effects.Timing(
            f'pipelines.{pipeline}.elapsed_ms', now_ms - job.arrived_ms
        ),
        *itertools.chain.from_iterable(stages),
    ]


def _measure_stage(
    pipeline: str, report: outcomes.StageReport
) -> list[effects.Count | effects.Timing]:
    stage = report.stage
    return [
        effects.Count(f'stages.{pipeline}.{stage}.calls', report.attempts),
        effects.Timing(
            f'stages.{pipeline}.{stage}.elapsed_ms', report.elapsed_ms
        ),
    ]
