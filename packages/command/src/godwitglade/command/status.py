"""Exit statuses of the command; docs/COMMAND.md lists them."""

import enum


class ExitStatus(enum.IntEnum):
    """Exit status of a command."""

    OK = 0
    ERROR = 1
    USAGE = 2
    INVALID = 3
    CONFLICT = 4
    UNKNOWN = 5
    REFUSED = 6
    FAILED = 7
    FORBIDDEN = 8
    UNAVAILABLE = 9
    NOT_IN_FORCE = 10
    AUDIT_BROKEN = 11
    NOT_FOUND = 12
    INTERRUPTED = 130


MEANINGS = {
    ExitStatus.OK: 'Success.',
    ExitStatus.ERROR: 'Any other error.',
    ExitStatus.USAGE: 'Invalid options or arguments; nothing was done.',
    ExitStatus.INVALID: 'The document is invalid; nothing was changed.',
    ExitStatus.CONFLICT: 'Conflict with another change; nothing was done.',
    ExitStatus.UNKNOWN: 'The result is unknown; query it by the printed id.',
    ExitStatus.REFUSED: 'The request was not run.',
    ExitStatus.FAILED: 'The request failed; some of its stages may have run.',
    ExitStatus.FORBIDDEN: 'The token is invalid or lacks permission.',
    ExitStatus.UNAVAILABLE: 'Service unreachable; nothing changed or ran.',
    ExitStatus.NOT_IN_FORCE: 'Applied, but not confirmed in force everywhere.',
    ExitStatus.AUDIT_BROKEN: 'The audit trail failed verification.',
    ExitStatus.NOT_FOUND: 'The document, change or quarantine does not exist.',
    ExitStatus.INTERRUPTED: 'Interrupted from the keyboard.',
}
