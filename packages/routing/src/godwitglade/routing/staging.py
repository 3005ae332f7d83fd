"""The jobs that a request's stages are done by, as its own host sees them.

Answers full stage pools: results are given up as soon as nothing needs them.
"""

import typing

from godwitglade.coordination import effects as shared_effects
from godwitglade.coordination import hosts
from godwitglade.routing import bodies
from godwitglade.routing import effects
from godwitglade.routing import forecasts
from godwitglade.routing import knowledge
from godwitglade.routing import request as request_

Effects = list[typing.Any]

FETCHED_TOKEN = 'requests:fetched:'

#: Within this time of its start a call has fetched its inputs.
FETCH_MS = 60
#: Inputs as large as this are freed once they are fetched, not only once
#: the call has ended: room for results binds.
EARLY_FREE_BYTES = 100_000


class Staging:
    """The jobs of all requests in flight on this host."""

    def __init__(
        self,
        self_id: hosts.HostId,
        knowledge_: knowledge.Knowledge,
        forecasts_: forecasts.Forecasts,
    ) -> None:
        self._self_id = self_id
        self._knowledge = knowledge_
        self._forecasts = forecasts_
        self._by_job: dict[str, request_.Request] = {}

    def request_of(self, job_id: str) -> request_.Request | None:
        """Return the request that still awaits a job."""
        return self._by_job.get(job_id)

    def start(self, request: request_.Request, now_ms: int) -> Effects:
        """Submit the stages whose predecessors are done."""
        found: Effects = []
        for stage in request.progress.startable():
            request.progress.started.add(stage)
            job = self._job(request, stage, now_ms)
            request.jobs[job.job_id] = stage
            self._by_job[job.job_id] = request
            found.append(effects.SubmitJob(job))
        return found

    def done(self, request: request_.Request, job: bodies.JobEnded) -> Effects:
        """Take in the results of a stage."""
        stage = request.jobs[job.job_id]
        request.progress.handles[stage] = job.handles
        request.progress.zones[stage] = job.zone
        return self.release_spent(request)

    def restart(self, request: request_.Request) -> Effects:
        """Give up everything that was done for a request."""
        found = self.release(request)
        request.progress.restart()
        request.fetched.clear()
        return found

    def job_begun(self, job_id: str, now_ms: int) -> Effects:
        """Take in that all items of a job are in calls."""
        request = self.request_of(job_id)
        if request is None:
            return []
        size = request.progress.input_bytes(request.jobs[job_id])
        if size < EARLY_FREE_BYTES:
            return []
        token = f'{FETCHED_TOKEN}{job_id}'
        return [shared_effects.StartTimer(token, now_ms + FETCH_MS)]

    def inputs_fetched(self, job_id: str) -> Effects:
        """Take in that a job's calls have fetched its inputs."""
        request = self.request_of(job_id)
        if request is None:
            return []
        request.fetched.add(request.jobs[job_id])
        return self.release_spent(request)

    def _job(
        self, request: request_.Request, stage: int, now_ms: int
    ) -> bodies.JobAsked:
        progress = request.progress
        later_ms = self._forecasts.left_ms(
            progress,
            progress.later(stage),
            self._knowledge.document.pools,
            request.pool,
            now_ms,
        )
        inputs = progress.inputs_of(stage)
        number = len(request.jobs) + len(request.spent_jobs)
        return bodies.JobAsked(
            job_id=f'{self._self_id}/{request.request_id}/{stage}/{number}',
            attempt_id=request.arrived.attempt_id,
            pool=progress.stages[stage].pool,
            stage=stage,
            count=progress.counts[stage],
            result_bytes=progress.stages[stage].result_bytes,
            rank=request.rank,
            due_left_ms=int(request.due_ms - now_ms - later_ms),
            left_ms=int(request.deadline_ms - now_ms - later_ms),
            item_key='' if inputs else request.arrived.item_key,
            inputs=inputs,
            zone=progress.zone_of_inputs(stage),
            input_bytes=progress.input_bytes(stage),
            later_wait_ms=self._forecasts.waits_ms(
                progress, progress.later(stage), now_ms
            ),
        )

    def release_spent(self, request: request_.Request) -> Effects:
        """Give up results that all stages after them have taken in."""
        spent = [
            job_id
            for job_id, number in request.jobs.items()
            if self._is_spent(request, number)
        ]
        for job_id in spent:
            self.forget(request, job_id)
        return [effects.ReleaseJobs(tuple(spent))] if spent else []

    def _is_spent(self, request: request_.Request, number: int) -> bool:
        progress = request.progress
        taken = request.fetched | progress.handles.keys()
        followers = [
            n
            for n, stage in enumerate(progress.stages)
            if number in stage.after and progress.counts[n]
        ]
        return bool(followers) and taken.issuperset(followers)

    def forget(self, request: request_.Request, job_id: str) -> None:
        """Await a job no longer."""
        request.jobs.pop(job_id, None)
        request.spent_jobs.add(job_id)
        self._by_job.pop(job_id, None)

    def release(self, request: request_.Request) -> Effects:
        """Give up the results of the request's jobs."""
        job_ids = tuple(request.jobs)
        for job_id in job_ids:
            self.forget(request, job_id)
        return [effects.ReleaseJobs(job_ids)] if job_ids else []
