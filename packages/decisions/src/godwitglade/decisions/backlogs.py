"""Counts of admitted jobs that still need a pool."""

import attrs

from godwitglade.decisions import jobs


@attrs.define(eq=False)
class Backlog:
    """Admitted jobs that were not yet sent to a pool."""

    counts: dict[tuple[int, str], int] = attrs.Factory(dict)
    shares: dict[str, int] = attrs.Factory(dict)

    def add(self, job: jobs.Job, by: int) -> None:
        """Count a job that needs the pool, or with -1 no longer does."""
        name = job.request.workspace
        key = (job.rank, name)
        left = self.counts.get(key, 0) + by
        if left > 0:
            self.counts[key] = left
        else:
            self.counts.pop(key, None)
        workspace = job.document.workspace(name)
        self.shares[name] = workspace.share if workspace else 1

    def ahead_of(self, rank: int, name: str, share: int) -> float:
        """Return how many jobs go before a new one of a workspace."""
        own = self.counts.get((rank, name), 0) + 1
        turns = own / share
        return sum(
            (
                count
                if other_rank < rank
                else min(count, turns * self.shares[other])
            )
            for (other_rank, other), count in self.counts.items()
            if other_rank <= rank
        )
