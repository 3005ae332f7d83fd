"""Jobs of the stages of requests, on the host that serves the requests.

Stage pools have little memory for results, so results are released as soon
as no stage needs them.
"""

import typing

from godwitglade.coordination import effects as shared_effects
from godwitglade.coordination import hosts
from godwitglade.routing import bodies
from godwitglade.routing import document_state
from godwitglade.routing import effects
from godwitglade.routing import forecasts
from godwitglade.routing import request as request_

Effects = list[typing.Any]

FETCHED_TOKEN = 'requests:fetched:'

#: A call has fetched its inputs within this time of its start.
INPUT_FETCH_MS = 60


class StageJobs:
    """The jobs of all requests in flight on this host."""

    def __init__(
        self,
        self_id: hosts.HostId,
        document_state_: document_state.DocumentState,
        forecasts_: forecasts.Forecasts,
    ) -> None:
        self._self_id = self_id
        self._document_state = document_state_
        self._forecasts = forecasts_
        self._by_job: dict[str, request_.Request] = {}

    def request_of(self, job_id: str) -> request_.Request | None:
        """Return the request that waits for a job."""
        return self._by_job.get(job_id)

    def start(self, request: request_.Request, now_ms: int) -> Effects:
        """Submit jobs for the stages whose predecessors are done."""
        effects_: Effects = []
        for stage in request.progress.ready_stages():
            request.progress.started.add(stage)
            job = self._job(request, stage, now_ms)
            request.jobs[job.job_id] = stage
            self._by_job[job.job_id] = request
            effects_.append(effects.SubmitJob(job))
        return effects_

    def job_done(
        self, request: request_.Request, job: bodies.JobEnded
    ) -> Effects:
        """Record the results of a stage; release inputs used up by it."""
        stage = request.jobs[job.job_id]
        request.progress.handles[stage] = job.handles
        request.progress.zones[stage] = job.zone
        return self.release_consumed(request)

    def restart(self, request: request_.Request) -> Effects:
        """Discard all stage work done for a request."""
        effects_ = self.release(request)
        request.progress.restart()
        request.fetched.clear()
        return effects_

    def job_started(self, job_id: str, now_ms: int) -> Effects:
        """Record that all items of a job have been dispatched."""
        request = self.request_of(job_id)
        if request is None:
            return []
        size = request.progress.input_bytes(request.jobs[job_id])
        if size < bodies.EARLY_FREE_BYTES:
            return []
        token = f'{FETCHED_TOKEN}{job_id}'
        return [shared_effects.StartTimer(token, now_ms + INPUT_FETCH_MS)]

    def inputs_fetched(self, job_id: str) -> Effects:
        """Record that a job's calls have fetched its inputs."""
        request = self.request_of(job_id)
        if request is None:
            return []
        request.fetched.add(request.jobs[job_id])
        return self.release_consumed(request)

    def _job(
        self, request: request_.Request, stage: int, now_ms: int
    ) -> bodies.JobRequest:
        progress = request.progress
        later_ms = self._forecasts.remaining_ms(
            progress,
            progress.later_stages(stage),
            self._document_state.document.pools,
            request.route.name,
            now_ms,
        )
        inputs = progress.inputs_of(stage)
        number = len(request.jobs) + len(request.past_jobs)
        return bodies.JobRequest(
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
                progress, progress.later_stages(stage), now_ms
            ),
            later_pools=tuple(
                progress.stages[later].pool
                for later in progress.later_stages(stage)
            ),
            regions=tuple(sorted(request.regions or ())),
        )

    def release_consumed(self, request: request_.Request) -> Effects:
        """Release results that all following stages have fetched."""
        consumed = [
            job_id
            for job_id, number in request.jobs.items()
            if self._is_consumed(request, number)
        ]
        for job_id in consumed:
            self.remove_job(request, job_id)
        return [effects.ReleaseJobs(tuple(consumed))] if consumed else []

    def _is_consumed(self, request: request_.Request, number: int) -> bool:
        progress = request.progress
        finished = request.fetched | progress.handles.keys()
        followers = [
            n
            for n, stage in enumerate(progress.stages)
            if number in stage.after and progress.counts[n]
        ]
        return bool(followers) and finished.issuperset(followers)

    def remove_job(self, request: request_.Request, job_id: str) -> None:
        """Stop waiting for a job."""
        request.jobs.pop(job_id, None)
        request.past_jobs.add(job_id)
        self._by_job.pop(job_id, None)

    def release(self, request: request_.Request) -> Effects:
        """Release the results of the request's jobs."""
        job_ids = tuple(request.jobs)
        for job_id in job_ids:
            self.remove_job(request, job_id)
        return [effects.ReleaseJobs(job_ids)] if job_ids else []
