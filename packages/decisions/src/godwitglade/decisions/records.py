"""Outcomes and claims as plain data for the table service."""

import typing
import urllib.parse

import xxhash

from godwitglade.common import codec
from godwitglade.decisions import messages
from godwitglade.decisions import outcomes

_TYPES = {
    kind.code: kind
    for kind in (
        outcomes.Answered,
        outcomes.RefusedNotRun,
        outcomes.Failed,
        outcomes.Unknown,
    )
}


def to_record(outcome: outcomes.Outcome) -> dict[str, typing.Any]:
    """Return ``outcome`` as a plain dict with its code."""
    return {'outcome': outcome.code, **codec.to_plain(outcome)}


def from_record(record: dict[str, typing.Any]) -> outcomes.Outcome:
    """Return the outcome in ``record``; raises MalformedError."""
    kind = _TYPES.get(record.get('outcome'), outcomes.Unknown)
    return codec.from_plain(record, kind)


def claim_key(
    workspace: str, pipeline: str, idempotency_key: str, stage: str
) -> str:
    """Return the key of a claim; distinct arguments never collide."""
    parts = (workspace, pipeline, idempotency_key, stage)
    return '/'.join(urllib.parse.quote(part, safe='') for part in parts)


def request_digest(request: messages.RequestArrived) -> str:
    """Return a digest of the request's payload as hexadecimal text."""
    return xxhash.xxh3_64_hexdigest(codec.to_json(request.payload))
