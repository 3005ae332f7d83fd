"""State shared by the modules of the request policy."""

import random
import typing

import attrs

from godwitglade.coordination import hosts
from godwitglade.decisions import backlogs as backlog_types
from godwitglade.decisions import balance
from godwitglade.decisions import directory as directories
from godwitglade.decisions import documents as document_types
from godwitglade.decisions import durations
from godwitglade.decisions import jobs as job_types
from godwitglade.decisions import quarantine as quarantines
from godwitglade.decisions import queueing
from godwitglade.decisions import retries
from godwitglade.decisions import settings as request_settings

Effects = list[typing.Any]


@attrs.define(eq=False)
class Context:
    """State of the request policy of one host.

    ``claimants`` maps a claim key to the job that claims it and
    ``waiting_claimants`` to the jobs that wait for the same key on this host.
    ``jobs_by_nonce`` maps the nonce of a claim without a verdict to its job.
    """

    host_id: hosts.HostId
    rng: random.Random
    claims: typing.Any
    settings: request_settings.RequestSettings
    chooser: balance.Chooser
    documents: dict[str, document_types.Document] = attrs.Factory(dict)
    jobs: dict[str, job_types.Job] = attrs.Factory(dict)
    attempts: dict[str, job_types.Job] = attrs.Factory(dict)
    claimants: dict[str, job_types.Job] = attrs.Factory(dict)
    jobs_by_nonce: dict[str, job_types.Job] = attrs.Factory(dict)
    waiting_claimants: dict[str, list[job_types.Job]] = attrs.Factory(dict)
    directory: directories.Directory = attrs.Factory(directories.Directory)
    stage_durations: durations.StageDurations = attrs.Factory(
        durations.StageDurations
    )
    queues: dict[str, queueing.FairQueue] = attrs.Factory(dict)
    retry_budgets: dict[str, retries.Budget] = attrs.Factory(dict)
    hedge_budgets: dict[str, retries.Budget] = attrs.Factory(dict)
    backlogs: dict[str, backlog_types.Backlog] = attrs.Factory(dict)
    quarantine: quarantines.Quarantine = attrs.Factory(quarantines.Quarantine)
    attempt_number: int = 0
    store_down_until_ms: int = -1
    used_elsewhere: dict[str, int] = attrs.Factory(dict)
    usage_published_ms: int = 0
    queries: dict[str, typing.Any] = attrs.Factory(dict)
    is_stopping: bool = False
    has_exited: bool = False

    def queue(self, pool: str) -> queueing.FairQueue:
        """Return the queue of jobs waiting for ``pool``."""
        if pool not in self.queues:
            length = self.settings.max_queued_per_pool
            self.queues[pool] = queueing.FairQueue(length)
        return self.queues[pool]

    def backlog(self, pool: str) -> backlog_types.Backlog:
        """Return the counts of admitted jobs that still need ``pool``."""
        if pool not in self.backlogs:
            self.backlogs[pool] = backlog_types.Backlog()
        return self.backlogs[pool]

    def retry_budget(self, pool: str) -> retries.Budget:
        """Return the retry budget of ``pool``."""
        if pool not in self.retry_budgets:
            ratio = self.settings.retry_ratio
            self.retry_budgets[pool] = retries.Budget(ratio)
        return self.retry_budgets[pool]

    def hedge_budget(self, pool: str) -> retries.Budget:
        """Return the hedge budget of ``pool``."""
        if pool not in self.hedge_budgets:
            settings = self.settings
            self.hedge_budgets[pool] = retries.Budget(
                settings.hedge_ratio, settings.hedge_burst
            )
        return self.hedge_budgets[pool]

    def next_attempt_id(self) -> str:
        """Return an attempt id unique across hosts and incarnations."""
        self.attempt_number += 1
        return f'{self.host_id}-{self.attempt_number}'
