"""Bounds on what one peer may make a process read, hold or wait for.

Every read whose length a peer chooses has a bound here. Clients within the
limits of the document reach none of the defaults.
"""

import re
import threading
import typing

import attrs

MEGABYTE = 1 << 20
#: Descriptors for files, pipes and the listeners themselves.
FILE_DESCRIPTORS = 200
#: Shares of the other descriptors for connections of callers, of other hosts,
#: and of hosts that hand requests over; the rest is for connections to
#: targets, the store and other hosts. A host that grants permits or owns a
#: stage pool has a connection from each of the up to 195 others.
CALLER_SHARE, PEER_SHARE, TAKEN_SHARE = 0.4, 0.3, 0.05
MIN_CONNECTIONS = 32
#: Share of the memory for large bodies. A process without load takes about
#: 45 MB of the 160 MB of the smallest machine.
BODY_SHARE = 0.2

#: Is called with the name of a bound and the amount that exceeds it.
Report = typing.Callable[[str, int], None]


def ignore(bound: str, amount: int) -> None:
    """Report nothing."""


class LimitExceededError(ValueError):
    """A client exceeds the bound ``bound``; ``status`` tells it so."""

    def __init__(self, bound: str, amount: int, status: int) -> None:
        super().__init__(f'{bound} exceeded')
        self.bound = bound
        self.amount = amount
        self.status = status


def _check_count(
    _limits: typing.Any, field: attrs.Attribute, value: typing.Any
) -> None:
    # bool is a subclass of int but must not be accepted as one.
    if type(value) is not int or value < 1:
        raise ValueError(f'{field.name} is no whole number above 0')


def _check_share(
    _limits: typing.Any, field: attrs.Attribute, value: typing.Any
) -> None:
    if type(value) not in (int, float) or not 0 < value <= 1:
        raise ValueError(f'{field.name} is no number above 0 and up to 1')


def _field(default: int) -> int:
    return attrs.field(default=default, validator=_check_count)


def _share(default: float) -> float:
    return attrs.field(default=default, validator=_check_share)


@attrs.frozen
class InputLimits:
    """Bounds of one process, by line, request, connection and process.

    A body may have ``framing_bytes`` of sizes and extensions of its chunks,
    and ``framing_bytes_per_byte`` for each of its own bytes.
    ``free_body_bytes`` of each body do not count towards
    ``body_memory_bytes``, so that ordinary requests always find memory.
    ``waiting_share`` of the threads of a listener may wait for bytes of
    clients at a time; ``address_share`` of its connections may come from one
    address, as many clients share that of a load balancer.
    """

    line_bytes: int = _field(16 * 1024)
    head_lines: int = _field(4_096)
    trailer_bytes: int = _field(16 * 1024)
    trailer_lines: int = _field(4_096)
    framing_bytes: int = _field(64 * 1024)
    framing_bytes_per_byte: int = _field(16)
    body_timeout_ms: int = _field(10_000)
    write_timeout_ms: int = _field(15_000)
    max_connections: int = _field(2_000)
    peer_connections: int = _field(1_000)
    taken_connections: int = _field(200)
    probe_connections: int = _field(MIN_CONNECTIONS)
    address_share: float = _share(0.9)
    waiting_share: float = _share(0.75)
    body_memory_bytes: int = _field(256 * MEGABYTE)
    free_body_bytes: int = _field(64 * 1024)


class BodyMemory:
    """The memory that the large bodies of a process take; thread-safe."""

    def __init__(self, limits: InputLimits, report: Report = ignore) -> None:
        self._limits = limits
        self._report = report
        self.held_bytes = 0
        self._lock = threading.Lock()

    def hold(self, size_bytes: int, held_bytes: int) -> int:
        """Return what a body of ``size_bytes`` holds, ``held_bytes`` so far.

        Raises LimitExceededError if the process has no memory for more.
        """
        counted = max(size_bytes - self._limits.free_body_bytes, 0)
        if counted == held_bytes:
            return held_bytes
        with self._lock:
            total = self.held_bytes + counted - held_bytes
            if total <= self._limits.body_memory_bytes:
                self.held_bytes = total
                return counted
        self._report('body_memory_bytes', total)
        raise LimitExceededError('body_memory_bytes', total, 503)

    def release(self, held_bytes: int) -> None:
        """Give back what a body holds."""
        if held_bytes:
            with self._lock:
                self.held_bytes -= held_bytes


def for_machine(
    memory_mb: int | None,
    max_descriptors: int | None,
    overrides: typing.Mapping[str, typing.Any],
) -> InputLimits:
    """Return the bounds for a machine.

    ``overrides`` replace the defaults and are spelled as in a settings file;
    names that no bound has are ignored. Raises ValueError for a value
    outside the range of its bound.
    """
    derived: dict[str, typing.Any] = {}
    if memory_mb is not None:
        share_bytes = int(memory_mb * MEGABYTE * BODY_SHARE)
        derived['body_memory_bytes'] = max(share_bytes, 1)
    if max_descriptors is not None:
        left = max_descriptors - FILE_DESCRIPTORS
        derived |= {
            name: max(int(left * share), MIN_CONNECTIONS)
            for name, share in (
                ('max_connections', CALLER_SHARE),
                ('peer_connections', PEER_SHARE),
                ('taken_connections', TAKEN_SHARE),
            )
        }
    known = {field.name for field in attrs.fields(InputLimits)}
    named = {_to_name(name): value for name, value in overrides.items()}
    derived |= {name: named[name] for name in known & named.keys()}
    return InputLimits(**derived)


def _to_name(spelled: str) -> str:
    """Return the name of the field that a file spells in camel case."""
    return re.sub('([A-Z])', r'_\1', spelled).lower()
