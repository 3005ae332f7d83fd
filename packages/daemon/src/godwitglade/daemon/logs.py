"""Structured logs of numbered events, one JSON object a line."""

import logging
import typing

import structlog

from godwitglade.common import events


def make_logger(
    stream: typing.TextIO, level: str, host: str, zone: str
) -> structlog.typing.FilteringBoundLogger:
    """Return a logger that writes to ``stream`` from ``level`` up."""
    make = structlog.make_filtering_bound_logger(
        logging.getLevelNamesMapping()[level.upper()]
    )
    logger = structlog.wrap_logger(
        structlog.WriteLogger(stream),
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt='iso', utc=True),
            structlog.processors.JSONRenderer(sort_keys=False),
        ],
        wrapper_class=make,
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
