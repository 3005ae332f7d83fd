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
    ExitStatus.OK: 'Done.',
    ExitStatus.ERROR: 'An error that none of the others names.',
    ExitStatus.USAGE: 'Options or arguments are wrong; nothing was done.',
    ExitStatus.INVALID: 'The document has faults; nothing was changed.',
    ExitStatus.CONFLICT: 'The document changed meanwhile; nothing was done.',
    ExitStatus.UNKNOWN: 'It may have taken effect; ask by the id printed.',
    ExitStatus.REFUSED: 'The request was not run.',
    ExitStatus.FAILED: 'The request ran in part and was not answered.',
    ExitStatus.FORBIDDEN: 'The token is not valid or may not do this.',
    ExitStatus.UNAVAILABLE: 'Not reachable; nothing was changed or run.',
    ExitStatus.NOT_IN_FORCE: 'Applied, but not seen in force on every host.',
    ExitStatus.AUDIT_BROKEN: 'The audit trail does not verify.',
    ExitStatus.NOT_FOUND: 'No such document, change or quarantine.',
    ExitStatus.INTERRUPTED: 'Interrupted from the keyboard.',
}
