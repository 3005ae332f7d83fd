"""A bounded queue of jobs that wait for a target of one pool.

Jobs with completed stages go before new ones, then by priority rank (lowest
first), by the weighted virtual time of workspaces and by deadline.
"""

import itertools

import attrs
import sortedcontainers

from godwitglade.decisions import jobs

_ClassKey = tuple[bool, int]


@attrs.define(eq=False)
class FairQueue:
    """Orders waiting jobs; ``len`` counts them.

    When it is full, the queue evicts a job of the last class: the last one
    of the workspace with the most waiting jobs relative to its share.
    """

    max_length: int
    _flows: dict[_ClassKey, dict[str, sortedcontainers.SortedDict]] = (
        attrs.Factory(dict)
    )
    _served: dict[str, float] = attrs.Factory(dict)
    _virtual_time: float = 0.0
    _numbers: itertools.count = attrs.Factory(itertools.count)
    _length: int = 0

    def __len__(self) -> int:
        return self._length

    def push(self, job: jobs.Job) -> jobs.Job | None:
        """Add ``job``; return the evicted job when the queue was full."""
        name = job.request.workspace
        flows = self._flows.setdefault(_class_of(job), {})
        if name not in flows:
            flows[name] = sortedcontainers.SortedDict()
            current = self._served.get(name, 0.0)
            self._served[name] = max(current, self._virtual_time)
        job.queue_key = (job.request.deadline_ms, next(self._numbers))
        flows[name][job.queue_key] = job
        self._length += 1
        return self._evict() if self._length > self.max_length else None

    def pop(self, cost: float = 1.0) -> jobs.Job | None:
        """Remove and return the next job, None when the queue is empty.

        ``cost``, divided by its share, is charged to the workspace.
        """
        if not self._flows:
            return None
        flows = self._flows[min(self._flows)]
        name = min(flows, key=lambda n: (self._served[n], n))
        job = flows[name].peekitem(0)[1]
        self._virtual_time = max(self._virtual_time, self._served[name])
        self._served[name] += cost / share_of(job)
        self.remove(job)
        return job

    def remove(self, job: jobs.Job) -> None:
        """Remove a waiting job; does nothing for other jobs."""
        if job.queue_key is None:
            return
        key, name = _class_of(job), job.request.workspace
        del self._flows[key][name][job.queue_key]
        job.queue_key = None
        self._length -= 1
        if not self._flows[key][name]:
            del self._flows[key][name]
        if not self._flows[key]:
            del self._flows[key]

    def waiting(self) -> list[jobs.Job]:
        """Return the waiting jobs, in no particular order."""
        flows = (f for c in self._flows.values() for f in c.values())
        return [job for flow in flows for job in flow.values()]

    def forget_idle(self) -> None:
        """Drop the counts of idle workspaces behind the virtual time."""
        names = {n for flows in self._flows.values() for n in flows}
        self._served = {
            name: served
            for name, served in self._served.items()
            if name in names or served > self._virtual_time
        }

    def _evict(self) -> jobs.Job:
        last_class = max(self._flows)
        flows = self._flows[last_class].values()
        longest = max(flows, key=_backlog)
        job = longest.peekitem(-1)[1]
        self.remove(job)
        return job


def share_of(job: jobs.Job) -> int:
    """Return the weight of the job's workspace in its document."""
    workspace = job.document.workspace(job.request.workspace)
    return workspace.share if workspace else 1


def _class_of(job: jobs.Job) -> _ClassKey:
    return (not job.has_earlier_results, job.rank)


def _backlog(flow: sortedcontainers.SortedDict) -> float:
    return len(flow) / share_of(flow.peekitem(0)[1])
