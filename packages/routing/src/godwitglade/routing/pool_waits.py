"""Waits in the queues of stage pools, as reported by the pools' owners.

A host learns the wait of a pool from the ends of its own jobs, and the more
hosts share a pool, the rarer these are. The owner of a pool therefore
reports its waits to the owners of the other pools, which use them instead
of the forecasts in job requests. Without that, a burst is admitted to the
first pool while the queues of the later ones grow, and every request is late.

What is admitted now arrives at a later pool after what the pools before it
already hold. That is counted, too: a report alone comes too late, so that
too much and too little would be admitted in turn.
"""

import itertools

import attrs

from godwitglade.routing import bodies
from godwitglade.routing import item_selection

#: Interval at which the owner of a pool with work reports its waits.
REPORT_INTERVAL_MS = 150
#: A report is used for this time; an owner without work sends none.
REPORT_TTL_MS = 600


class PoolWaits:
    """The last reports of the owners of pools."""

    def __init__(self) -> None:
        self._reports: dict[str, tuple[bodies.PoolWaits, int]] = {}
        #: Jobs accepted for a pool since its last report, with the time.
        self._accepted: dict[str, list[tuple[bodies.JobRequest, int]]] = {}

    def record(self, report: bodies.PoolWaits, now_ms: int) -> None:
        """Record the report of a pool's owner."""
        self._reports[report.pool] = (report, now_ms)
        self._accepted.pop(report.pool, None)

    def record_accepted(self, request: bodies.JobRequest, now_ms: int) -> None:
        """Record a job that this host accepted as the owner of its pool."""
        accepted = self._accepted.setdefault(request.pool, [])
        accepted.append((request, now_ms))

    def make_job(
        self,
        request: bodies.JobRequest,
        origin: str,
        lead_ms: float,
        now_ms: int,
    ) -> item_selection.Job:
        """Return a job with the expected waits of its later stages.

        Its results are expected after ``lead_ms``. The forecast of the
        requesting host is used if there is no report.
        """
        reports = self._recent(now_ms)
        waits = []
        for pool in request.later_pools:
            if pool in reports:
                coming = self._count_coming(pool, request.rank, now_ms)
                wait = _wait(reports[pool], request.rank, coming, lead_ms)
                waits.append(wait)
                lead_ms += wait.wait_ms + reports[pool].call_ms
        if waits:
            later_wait_ms = sum(wait.wait_ms for wait in waits)
            excess_ms = later_wait_ms - request.later_wait_ms
            request = attrs.evolve(
                request,
                later_wait_ms=later_wait_ms,
                due_left_ms=request.due_left_ms - excess_ms,
                left_ms=request.left_ms - excess_ms,
            )
        return item_selection.Job(
            request,
            origin,
            now_ms + request.due_left_ms,
            now_ms + request.left_ms,
            sum(wait.backlog_ms for wait in waits),
        )

    def _recent(self, now_ms: int) -> dict[str, bodies.PoolWaits]:
        return {
            pool: report
            for pool, (report, received_ms) in self._reports.items()
            if now_ms - received_ms < REPORT_TTL_MS
        }

    def _count_coming(self, pool: str, rank: int, now_ms: int) -> int:
        """Return how many jobs up to a rank are on their way to a pool."""
        reported = sum(
            jobs.count
            for report in self._recent(now_ms).values()
            for jobs in report.coming
            if jobs.pool == pool and jobs.rank <= rank
        )
        # A pool that has become idle makes no further report.
        accepted = sum(
            request.rank <= rank and pool in request.later_pools
            for request, accepted_ms in itertools.chain(
                *self._accepted.values()
            )
            if now_ms - accepted_ms < REPORT_TTL_MS
        )
        return reported + accepted


def _wait(
    report: bodies.PoolWaits, rank: int, coming: int, lead_ms: float
) -> bodies.QueueWait:
    """Estimate the wait in a pool of a job that arrives in ``lead_ms``."""
    ahead = [wait for wait in report.waits if wait.rank <= rank]
    now = ahead[-1] if ahead else bodies.QueueWait(rank, 0, 0)
    # Until then the pool works off what it has and what comes before.
    backlog_ms = now.backlog_ms + coming * report.job_ms - lead_ms
    backlog_ms = max(0, int(backlog_ms))
    wait_ms = now.wait_ms - max(0, now.backlog_ms) + backlog_ms
    return bodies.QueueWait(rank, wait_ms, backlog_ms)
