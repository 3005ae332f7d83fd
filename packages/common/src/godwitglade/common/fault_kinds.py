"""How a call to a target can fail."""

import enum


class FaultKind(enum.Enum):
    """How a stage call failed.

    CONNECT: no connection was opened. BUSY, LEAVING: the target did not run
    the call, because it is busy or stopping. TIMEOUT: the whole call took
    too long. SILENT: no data arrived within the read timeout. LOST: the
    connection broke or the reply ended early. REJECTED: a 4xx status. ERROR:
    any other failure.
    """

    CONNECT = 'connect'
    BUSY = 'busy'
    LEAVING = 'leaving'
    TIMEOUT = 'timeout'
    SILENT = 'silent'
    LOST = 'lost'
    ERROR = 'error'
    REJECTED = 'rejected'
