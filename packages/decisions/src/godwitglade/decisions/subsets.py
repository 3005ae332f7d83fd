"""The bounded part of a large pool that one host uses.

Rendezvous hashing spreads the hosts evenly over the targets, and a change
of the list moves only the targets that came or went. Half of the part comes
from the host's own zone where that has enough.
"""

import xxhash

from godwitglade.coordination import hosts
from godwitglade.decisions import directory


def choose(
    host_id: hosts.HostId, tracked: list[directory.TrackedTarget], size: int
) -> list[directory.TrackedTarget]:
    """Return ``size`` targets of a pool, all of a pool no larger."""
    if len(tracked) <= size:
        return tracked
    seed = xxhash.xxh3_64_intdigest(host_id.name.encode())
    ranked = sorted(
        tracked,
        key=lambda t: xxhash.xxh3_64_intdigest(t.name.encode(), seed),
    )
    near = [t for t in ranked if t.target.zone == host_id.zone]
    chosen = near[: size // 2]
    names = {t.name for t in chosen}
    rest = (t for t in ranked if t.name not in names)
    return chosen + [next(rest) for _ in range(size - len(chosen))]
