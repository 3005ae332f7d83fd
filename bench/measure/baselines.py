"""Policies to compare: the project's own and simpler baselines."""

import itertools
import typing

import attrs

from godwitglade.decisions import directory
from godwitglade.decisions import requests
from godwitglade.decisions import settings as request_settings


@attrs.define(eq=False)
class RoundRobin:
    """Selects targets in turn, regardless of their load."""

    counter: itertools.count = attrs.Factory(itertools.count)

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
        return candidates[next(self.counter) % len(candidates)]


class LeastInFlight:
    """Selects the target with the fewest calls in flight from this host."""

    def choose(
        self,
        candidates: list[directory.TrackedTarget],
        zone: str,
        prefix: str,
        now_ms: int,
    ) -> directory.TrackedTarget | None:
        """Return the candidate with the fewest calls of this host."""
        return min(candidates, key=lambda t: t.in_flight, default=None)


@attrs.frozen
class Policy:
    """A name and a factory for the decision logic of a host."""

    name: str
    make_requests: typing.Callable


_BASIC = request_settings.RequestSettings(
    is_admission_on=False, is_hedging_on=False, is_ejection_on=False
)
_RETRYING = attrs.evolve(_BASIC, retry_ratio=4.0)
_NO_ADMISSION = request_settings.RequestSettings(is_admission_on=False)


def _own(host_id, rng, claims):
    settings = request_settings.RequestSettings()
    return requests.Requests(host_id, rng, claims, settings)


def _no_admission(host_id, rng, claims):
    return requests.Requests(host_id, rng, claims, _NO_ADMISSION)


def _round_robin(host_id, rng, claims):
    return requests.Requests(host_id, rng, claims, _RETRYING, RoundRobin())


def _least_in_flight(host_id, rng, claims):
    return requests.Requests(host_id, rng, claims, _BASIC, LeastInFlight())


OWN = Policy('own', _own)
ALL = (
    OWN,
    Policy('no admission', _no_admission),
    Policy('least in flight', _least_in_flight),
    Policy('round robin', _round_robin),
)
