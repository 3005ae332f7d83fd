"""Counts of admitted jobs that were not yet sent to a pool."""

import attrs

from godwitglade.decisions import jobs


@attrs.define(eq=False)
class Backlog:
    """Counts of pending jobs, by rank and workspace."""

    counts: dict[tuple[int, str], int] = attrs.Factory(dict)
    shares: dict[str, int] = attrs.Factory(dict)

    def add(self, job: jobs.Job, by: int) -> None:
        """Add ``by`` (1 or -1) to the count of the job's workspace."""
        name = job.request.workspace
        key = (job.rank, name)
        remaining = self.counts.get(key, 0) + by
        if remaining > 0:
            self.counts[key] = remaining
        else:
            self.counts.pop(key, None)
        workspace = job.document.workspace(name)
        self.shares[name] = workspace.share if workspace else 1

    def ahead_of(self, rank: int, name: str, share: int) -> float:
        """Return how many jobs are served before a new one of a workspace."""
        position = self.counts.get((rank, name), 0) + 1
        turns = position / share
        return sum(
            (
                count
                if other_rank < rank
                else min(count, turns * self.shares[other])
            )
            for (other_rank, other), count in self.counts.items()
            if other_rank <= rank
        )
