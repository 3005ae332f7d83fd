"""How often the tables of the store are read.

A reader is a host that other hosts rely on. They add the age of its reads
to the time since they asked, so it confirms its tables more often.
"""

from godwitglade.platform import follower

#: Time between two confirmations of a reader's tables.
CONFIRM_MS = 700
#: Longest interval of retries of tables whose changes are not urgent.
SLOW_RETRY_MS = 4_000
#: A feed that fails at its end leaves time for one more read before keys
#: are no longer accepted.
DOCUMENT = follower.Pace(wait_ms=2_500, full_read_ms=2_500)
READER_DOCUMENT = follower.Pace(
    wait_ms=CONFIRM_MS, full_read_ms=5_000, confirm_ms=CONFIRM_MS
)
#: A feed left hanging by a network partition ends before the host counts as
#: reachable again. Feeds pause because targets change often.
TARGETS = follower.Pace(wait_ms=2_000, full_read_ms=10_000, pause_ms=250)
READER_TARGETS = follower.Pace(
    wait_ms=CONFIRM_MS,
    full_read_ms=10_000,
    pause_ms=250,
    confirm_ms=CONFIRM_MS,
)
#: Hosts reach each other without the table, which only lists new ones.
HOSTS = follower.Pace(
    wait_ms=10_000,
    full_read_ms=30_000,
    pause_ms=2_000,
    resume_ms=2_000,
    max_retry_ms=SLOW_RETRY_MS,
)
#: Hosts tell each other first what crashes targets; the table keeps it.
QUARANTINE = follower.Pace(
    wait_ms=25_000, full_read_ms=60_000, max_retry_ms=SLOW_RETRY_MS
)
