"""Structured logs of numbered events, one JSON object per line."""

import io
import logging
import traceback
import typing

import structlog

from godwitglade.common import events
from godwitglade.daemon import log_queue


def make_logger(
    stream: typing.TextIO, level: str, host: str, zone: str
) -> structlog.typing.FilteringBoundLogger:
    """Return a logger that writes to ``stream`` at ``level`` and above."""
    logger_class = structlog.make_filtering_bound_logger(
        logging.getLevelNamesMapping()[level.upper()]
    )
    logger = structlog.wrap_logger(
        structlog.WriteLogger(stream),
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt='iso', utc=True),
            structlog.processors.JSONRenderer(sort_keys=False),
        ],
        wrapper_class=logger_class,
    )
    return logger.bind(host=host, zone=zone)


def log_event(
    logger: structlog.typing.FilteringBoundLogger,
    event: events.Event,
    fields: dict[str, typing.Any],
) -> None:
    """Write ``event`` with its number, level and fields."""
    logger.log(
        event.value.level,
        event.name.lower(),
        number=events.number_of(event),
        **fields,
    )


def make_queued_logger(
    stream: typing.TextIO, level: str, host: str, zone: str
) -> tuple[structlog.typing.FilteringBoundLogger, log_queue.LogQueue]:
    """Return a logger that never blocks, and the queue it writes to."""

    def render_dropped(count: int) -> str:
        text = io.StringIO()
        unqueued = make_logger(text, level, host, zone)
        log_event(unqueued, events.Event.LOGS_DROPPED, {'lines': count})
        return text.getvalue()

    queue = log_queue.LogQueue(stream, render_dropped)
    return make_logger(queue, level, host, zone), queue


def make_fault_reporter(
    logger: typing.Any,
) -> typing.Callable[[BaseException], None]:
    """Return a function that logs an unexpected exception."""

    def report(error: BaseException) -> None:
        fields = {
            'error': type(error).__name__,
            'reason': str(error),
            'trace': ''.join(traceback.format_exception(error)),
        }
        log_event(logger, events.Event.LOOP_FAULT, fields)

    return report
