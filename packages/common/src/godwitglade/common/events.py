"""Numbered log events; docs/EVENTS.md is generated from this module.

Numbers are grouped by topic and never reused: 1000 daemon, 2000 callers
and requests, 3000 targets, 4000 platform, 5000 documents and operators,
6000 peers and membership, 7000 claims, 8000 engine orders. A routed request
is one that the edge program forwards by its routes.
"""

import enum
import logging

import attrs


@attrs.frozen
class EventDescription:
    """The number, log level and meaning of an event."""

    number: int
    level: int
    meaning: str


class Event(enum.Enum):
    """Events that the programs log."""

    STARTED = EventDescription(
        1001, logging.INFO, 'The process started and listens on its ports.'
    )
    READY = EventDescription(1002, logging.INFO, 'The host accepts requests.')
    STOPPING = EventDescription(
        1003,
        logging.INFO,
        'A planned stop began; the host reports not ready.',
    )
    STOPPED = EventDescription(1004, logging.INFO, 'The process stopped.')
    LOOP_FAULT = EventDescription(
        1005,
        logging.ERROR,
        'An unexpected exception occurred; the message was dropped.',
    )
    SETTINGS_REFUSED = EventDescription(
        1006,
        logging.ERROR,
        'The settings are unreadable or invalid and were not applied.',
    )
    CANNOT_BIND = EventDescription(
        1007,
        logging.ERROR,
        'A listener could not bind its address; the process exits.',
    )
    CERTIFICATE_LOADED = EventDescription(
        1010, logging.INFO, 'A new certificate was loaded and is now in use.'
    )
    CERTIFICATE_REFUSED = EventDescription(
        1011,
        logging.ERROR,
        'A new certificate cannot be used; the previous one stays in use.',
    )
    REQUEST_SETTLED = EventDescription(
        2001,
        logging.INFO,
        'A request of a pipeline reached its final outcome.',
    )
    REQUEST_ADMITTED = EventDescription(
        2010, logging.INFO, 'A routed request was read and accepted.'
    )
    REQUEST_REFUSED = EventDescription(
        2011, logging.INFO, 'A routed request was rejected on arrival.'
    )
    REQUEST_SENT = EventDescription(
        2012, logging.INFO, 'A routed request is sent to a target.'
    )
    CALL_NOT_RUN = EventDescription(
        2013, logging.INFO, 'A target reported that it did not run a request.'
    )
    CALL_FAILED = EventDescription(
        2014,
        logging.WARNING,
        'A call to a target for a routed request failed.',
    )
    STAGE_FAILED = EventDescription(
        2015, logging.INFO, 'A stage of a routed request did not complete.'
    )
    REQUEST_ENDED = EventDescription(
        2016, logging.INFO, 'A routed request reached its final outcome.'
    )
    QUARANTINE_STARTED = EventDescription(
        2017,
        logging.WARNING,
        'A prompt part or a request crashes targets; routed requests with it '
        'are refused.',
    )
    QUARANTINE_ENDED = EventDescription(
        2018,
        logging.INFO,
        'A prompt part or a request is no longer refused.',
    )
    CALL_CANCELLED = EventDescription(
        2019,
        logging.INFO,
        'This host ended the connection of a call to a target.',
    )
    BODY_ENDED = EventDescription(
        2020,
        logging.INFO,
        'The body of a response ended early, or had no length to check.',
    )
    LIMIT_EXCEEDED = EventDescription(
        2021,
        logging.WARNING,
        'A client exceeded a bound on its input; at most one of each bound '
        'is logged in 10 s.',
    )
    TARGET_LIMITED = EventDescription(
        3009,
        logging.WARNING,
        'A target named a limit of the requests that it takes from all hosts.',
    )
    TARGET_LIMIT_ENDED = EventDescription(
        3010, logging.INFO, 'A target no longer limits its requests.'
    )
    TARGETS_UNREACHABLE = EventDescription(
        3011,
        logging.WARNING,
        'No target responds to this host; it hands requests over.',
    )
    TARGETS_REACHED = EventDescription(
        3012, logging.INFO, 'A target responds to this host again.'
    )
    TABLES_SHARED = EventDescription(
        3013,
        logging.INFO,
        'This host learns changes in the store from other hosts.',
    )
    TABLES_FOLLOWED = EventDescription(
        3014,
        logging.INFO,
        'This host follows the tables of the store itself.',
    )
    TABLES_AGE_INVALID = EventDescription(
        3015,
        logging.WARNING,
        'A host told an age of its reading that cannot be true.',
    )
    EVACUATION_STARTED = EventDescription(
        3016,
        logging.WARNING,
        'Nothing new is sent to the targets of a data centre any more.',
    )
    EVACUATION_ENDED = EventDescription(
        3017,
        logging.INFO,
        'The targets of a data centre are used again.',
    )
    EVACUATIONS_INVALID = EventDescription(
        3018,
        logging.WARNING,
        'A host told evacuated data centres that cannot be read.',
    )
    ZONE_WITHOUT_REGION = EventDescription(
        3019,
        logging.WARNING,
        'The settings name no region of a data centre with targets; requests '
        'with home regions do not use them.',
    )
    TARGET_COLD = EventDescription(
        3020,
        logging.INFO,
        'A target is slow for a while and gets few requests.',
    )
    TARGET_WARM = EventDescription(
        3021, logging.INFO, 'A target that was cold gets requests as usual.'
    )
    TARGET_LOAD_MALFORMED = EventDescription(
        3022,
        logging.WARNING,
        'A target reported load figures that cannot be read; once for each '
        'of its processes. The readable ones are used.',
    )
    LOGS_DROPPED = EventDescription(
        1012,
        logging.WARNING,
        'Log lines were dropped because the log queue was full.',
    )
    SETTINGS_RELOADED = EventDescription(
        1013, logging.INFO, 'The settings file was reloaded.'
    )
    REPLY_DROPPED = EventDescription(
        3001,
        logging.WARNING,
        'A reply matched no pending attempt and was dropped.',
    )
    TARGET_SUSPENDED = EventDescription(
        3002,
        logging.WARNING,
        'A target failed; calls to it are temporarily suspended.',
    )
    TARGET_CHANGED = EventDescription(
        3003, logging.INFO, 'A target joined, is leaving or is gone.'
    )
    BATCH_LOST = EventDescription(
        3004,
        logging.WARNING,
        'A stage call with a batch of items got no complete response.',
    )
    BATCH_SENT = EventDescription(
        3005,
        logging.INFO,
        'A stage call with a batch of items is sent to a target.',
    )
    FREE_FAILED = EventDescription(
        3006, logging.WARNING, 'A request to free results on a target failed.'
    )
    BATCH_INCOMPLETE = EventDescription(
        3007,
        logging.INFO,
        'A target did not complete all items of a stage call.',
    )
    POOL_STATE = EventDescription(
        3008,
        logging.INFO,
        'The queue of a stage pool and the state of its targets; each second '
        'while the pool has work.',
    )
    QUARANTINE_ROW_FAILED = EventDescription(
        4004,
        logging.WARNING,
        'A row about what crashes targets could not be changed in the store; '
        'it is tried again.',
    )
    STREAM_ROW_FAILED = EventDescription(
        4005,
        logging.WARNING,
        'The row about the versions of streams could not be changed in the '
        'store; it is tried again.',
    )
    STORE_LOST = EventDescription(
        4001, logging.WARNING, 'The platform store does not respond.'
    )
    STORE_REGAINED = EventDescription(
        4002, logging.INFO, 'The platform store responds again.'
    )
    ROW_SKIPPED = EventDescription(
        4003,
        logging.WARNING,
        'A malformed row of the platform store was skipped.',
    )
    DOCUMENT_IN_FORCE = EventDescription(
        5001, logging.INFO, 'A document version is now in force on this host.'
    )
    CHANGE_APPLIED = EventDescription(
        5002, logging.INFO, 'A document change was accepted.'
    )
    CHANGE_UNSETTLED = EventDescription(
        5003,
        logging.WARNING,
        'A change got no response; whether it was applied is unknown.',
    )
    CHANGE_ROWS_MALFORMED = EventDescription(
        5004, logging.ERROR, 'Stored document rows are malformed.'
    )
    OPERATOR_REFUSED = EventDescription(
        5005,
        logging.WARNING,
        'An operator request lacked a valid token or permission.',
    )
    DOCUMENT_REFUSED = EventDescription(
        5006,
        logging.ERROR,
        'A stored document is invalid; the previous version stays in force.',
    )
    ROUTES_IN_FORCE = EventDescription(
        5007,
        logging.INFO,
        'A version of the routes is now in force on this host.',
    )
    OWNER_LOST = EventDescription(
        6001, logging.WARNING, 'The owner of a stage pool does not respond.'
    )
    CLAIM_ROW_LOST = EventDescription(
        7001, logging.ERROR, 'A held claim row was changed by another writer.'
    )
    ENGINE_ORDERED = EventDescription(
        8001, logging.INFO, 'An engine was ordered to load a model.'
    )
    ORDER_REFUSED = EventDescription(
        8002,
        logging.WARNING,
        'An engine refused an order with an outdated fencing number.',
    )


def number_of(event: Event) -> int:
    """Return the number of ``event`` in log lines."""
    return event.value.number
