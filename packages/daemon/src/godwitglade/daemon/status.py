"""Exit statuses of the daemon."""

import enum


class ExitStatus(enum.IntEnum):
    """Exit status of the process."""

    SUCCESS = 0
    ERROR = 1
    USAGE = 2
    SETTINGS = 3
    CANNOT_BIND = 4
