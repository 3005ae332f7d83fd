"""Subsetting: the limited set of targets of a large pool that a host uses.

Rendezvous hashing spreads the hosts evenly over the targets, and a change
of the list affects only the targets that were added or removed. At
least half of the subset comes from the host's own zone, if that has enough
targets.
"""

import xxhash

from godwitglade.coordination import hosts
from godwitglade.decisions import directory


def choose(
    host_id: hosts.HostId, tracked: list[directory.TrackedTarget], size: int
) -> list[directory.TrackedTarget]:
    """Return ``size`` targets of a pool, or all if it has no more."""
    if len(tracked) <= size:
        return tracked
    seed = xxhash.xxh3_64_intdigest(host_id.name.encode())
    ranked = sorted(
        tracked,
        key=lambda t: xxhash.xxh3_64_intdigest(t.name.encode(), seed),
    )
    local = [t for t in ranked if t.target.zone == host_id.zone]
    chosen = local[: size // 2]
    names = {t.name for t in chosen}
    others = (t for t in ranked if t.name not in names)
    return chosen + [next(others) for _ in range(size - len(chosen))]
