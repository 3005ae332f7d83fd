"""Streams that go on at a target that does not say since when it runs.

Its events wait until the store has said that the entry is still the newest:
another process at its address may have other software.
"""

import typing

import attrs

from godwitglade.routing import effects
from godwitglade.routing import pool_versions
from godwitglade.routing import request as request_
from godwitglade.routing import request_logs
from godwitglade.routing import targets

Effects = list[typing.Any]


@attrs.frozen
class _Waiting:
    request: request_.Request
    call: int
    target: targets.Target
    since_ms: int


class ProcessConfirmations:
    """The calls of this host whose events wait."""

    def __init__(
        self,
        versions: pool_versions.PoolVersions,
        directory: targets.Directory,
    ) -> None:
        self._versions = versions
        self._directory = directory
        self._waiting: dict[str, _Waiting] = {}

    def ask(self, request: request_.Request, now_ms: int) -> Effects:
        """Ask the store for changes after the first event of a call."""
        self._waiting[request.request_id] = _Waiting(
            request, request.calls, request.target, now_ms
        )
        return [effects.ConfirmTargets()]

    def apply_list(self, now_ms: int) -> Effects:
        """Release or cancel the calls on which the list has decided."""
        decided = [
            waiting
            for waiting in self._waiting.values()
            if self._versions.is_confirmed_since(waiting.since_ms)
        ]
        for waiting in decided:
            del self._waiting[waiting.request.request_id]
        return [
            effect
            for waiting in decided
            for effect in self._decide(waiting, now_ms)
        ]

    def _decide(self, waiting: _Waiting, now_ms: int) -> Effects:
        request, target = waiting.request, waiting.target
        if request.calls != waiting.call or request.target is not target:
            return []
        if self._directory.find(target.name) is target:
            return [effects.ConfirmProcess(request.request_id, waiting.call)]
        return request_logs.cancel_call(request, 'replaced', now_ms)

    def drop(self, request: request_.Request) -> None:
        """Forget a request that has ended."""
        self._waiting.pop(request.request_id, None)
