"""The policies compared: the project's own and simpler ones."""

import itertools
import typing

import attrs

from godwitglade.decisions import directory
from godwitglade.decisions import requests
from godwitglade.decisions import settings as request_settings


@attrs.define(eq=False)
class RoundRobin:
    """Targets in turn, whatever their load."""

    numbers: itertools.count = attrs.Factory(itertools.count)

    def choose(
        self,
        candidates: list[directory.TrackedTarget],
        zone: str,
        prefix: str,
        now_ms: int,
    ) -> directory.TrackedTarget | None:
        """Return the next candidate in turn."""
        if not candidates:
            return None
        return candidates[next(self.numbers) % len(candidates)]


class LeastInFlight:
    """The target with the fewest calls in flight from this host."""

    def choose(
        self,
        candidates: list[directory.TrackedTarget],
        zone: str,
        prefix: str,
        now_ms: int,
    ) -> directory.TrackedTarget | None:
        """Return the candidate with the fewest own calls."""
        return min(candidates, key=lambda t: t.in_flight, default=None)


@attrs.frozen
class Policy:
    """A named way to make the decisions of a host."""

    name: str
    make: typing.Callable


_PLAIN = request_settings.RequestSettings(
    is_admission_on=False, is_hedging_on=False, is_ejection_on=False
)
_BLIND = attrs.evolve(_PLAIN, retry_ratio=4.0)
_NO_ADMISSION = request_settings.RequestSettings(is_admission_on=False)


def _own(host_id, rng, claims):
    settings = request_settings.RequestSettings()
    return requests.Requests(host_id, rng, claims, settings)


def _no_admission(host_id, rng, claims):
    return requests.Requests(host_id, rng, claims, _NO_ADMISSION)


def _round_robin(host_id, rng, claims):
    return requests.Requests(host_id, rng, claims, _BLIND, RoundRobin())


def _least_in_flight(host_id, rng, claims):
    return requests.Requests(host_id, rng, claims, _PLAIN, LeastInFlight())


OWN = Policy('own', _own)
ALL = (
    OWN,
    Policy('no admission', _no_admission),
    Policy('least in flight', _least_in_flight),
    Policy('round robin', _round_robin),
)
