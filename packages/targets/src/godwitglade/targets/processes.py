"""Which process of a target gets a request.

A target may start again under its name and address, with other software.
Until its new entry is known, only its own report tells the two processes
apart. A connection leads to one process, so the report is read over the
connection that the request uses, once for each connection.
"""

import attrs

from godwitglade.common import clock as clocks
from godwitglade.common import codec
from godwitglade.common import errors
from godwitglade.routing import effects
from godwitglade.targets import connections
from godwitglade.targets import faults
from godwitglade.targets import http_exchange
from godwitglade.targets import response_bodies

#: Time in which a target has to report, once connected.
TIMEOUT_MS = 250
#: Time for which events wait for the list of targets.
CONFIRM_TIMEOUT_MS = 400

BOUND_CHECKS = (effects.ProcessCheck.REQUIRE, effects.ProcessCheck.CONFIRM)


@attrs.frozen
class Report:
    """What a target reported over a connection.

    Its process started at ``started_ms`` (Unix time), 0 if there was no
    report or it does not say so. With ``is_open`` the connection can be used
    for a request.
    """

    started_ms: int
    is_open: bool


UNASKED = Report(0, True)


def read_report(
    connection: connections.Connection,
    path: str,
    field: str,
    budget: http_exchange.Budget,
) -> Report:
    """Ask for the report at ``path``, whose ``field`` has the start."""
    try:
        http_exchange.send(connection, 'GET', path, None, budget)
        response = http_exchange.receive(connection, budget)
        reply = http_exchange.read_reply(connection, response, budget)
    except faults.CallFaultError:
        return Report(0, False)
    is_open = response_bodies.may_be_reused(response, 'GET')
    return Report(parse_start(reply.content, field), is_open)


def parse_start(report: bytes, field: str) -> int:
    """Return when a target started by its own report, or 0."""
    try:
        plain = codec.parse_json(report)
    except errors.MalformedError:
        return 0
    started_ms = plain.get(field) if isinstance(plain, dict) else None
    return started_ms if type(started_ms) is int else 0


def ask(
    connection: connections.Connection,
    effect: effects.Forward,
    before: Report | None,
    wire: tuple[str, str],
    clock: clocks.Clock,
) -> Report:
    """Return the report of the process that a request would reach.

    ``before`` is the report over another connection for the same request,
    None for the first one; ``wire`` has the path of reports and the field of
    the start.
    """
    if effect.process_check is effects.ProcessCheck.NONE:
        return UNASKED
    if connection.started_ms is not None:
        return Report(connection.started_ms, True)
    if before is not None and not before.is_open:
        return attrs.evolve(before, is_open=True)
    budget = http_exchange.Budget(clock, TIMEOUT_MS, TIMEOUT_MS)
    report = read_report(connection, *wire, budget)
    if report.is_open:
        connection.started_ms = report.started_ms
    return report


def may_send(effect: effects.Forward, report: Report) -> bool:
    """Return whether a request may go to the process that reported."""
    if not report.is_open:
        return False
    if effect.process_check not in BOUND_CHECKS:
        return True
    return report.started_ms in (0, effect.target.started_ms)


def must_confirm(effect: effects.Forward, started_ms: int) -> bool:
    """Return whether events wait until the list confirms their process."""
    is_bound = effect.process_check is effects.ProcessCheck.CONFIRM
    return is_bound and not started_ms


def is_replaced(effect: effects.Forward, report: Report) -> bool:
    """Return whether a process has taken the place of that of the entry."""
    return report.started_ms > effect.target.started_ms
