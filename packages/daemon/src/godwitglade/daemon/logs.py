"""Structured logs of numbered events, one JSON object per line."""

import datetime
import io
import json
import logging
import traceback
import typing

import attrs

from godwitglade.common import events
from godwitglade.daemon import log_queue


@attrs.frozen
class Logger:
    """Writes events of a host to ``stream``, those at ``level`` and above."""

    stream: typing.Any
    level: int
    host: str
    zone: str

    def write(
        self, event: events.Event, fields: typing.Mapping[str, typing.Any]
    ) -> None:
        """Write one event as a line of JSON, values of other types as text."""
        level = event.value.level
        if level < self.level:
            return
        now = datetime.datetime.now(datetime.UTC).replace(tzinfo=None)
        line = {
            'host': self.host,
            'zone': self.zone,
            'number': events.number_of(event),
            **fields,
            'event': event.name.lower(),
            'level': logging.getLevelName(level).lower(),
            'timestamp': now.isoformat() + 'Z',
        }
        self.stream.write(json.dumps(line, default=repr) + '\n')
        self.stream.flush()


def make_logger(
    stream: typing.Any, level: str, host: str, zone: str
) -> Logger:
    """Return a logger that writes to ``stream`` at ``level`` and above."""
    number = logging.getLevelNamesMapping()[level.upper()]
    return Logger(stream, number, host, zone)


def log_event(
    logger: Logger,
    event: events.Event,
    fields: dict[str, typing.Any],
) -> None:
    """Write ``event`` with its number, level and fields."""
    logger.write(event, fields)


def make_queued_logger(
    stream: typing.TextIO, level: str, host: str, zone: str
) -> tuple[Logger, log_queue.LogQueue]:
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
