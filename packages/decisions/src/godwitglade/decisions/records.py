"""Records of outcomes and keys of claims, for the table service."""

import typing
import urllib.parse

import xxhash

from godwitglade.common import codec
from godwitglade.decisions import messages
from godwitglade.decisions import outcomes

_TYPE_BY_CODE = {
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
    """Return the outcome in ``record``.

    Raises MalformedError when the record is malformed.
    """
    kind = _TYPE_BY_CODE.get(record.get('outcome'), outcomes.Unknown)
    return codec.from_plain(record, kind)


def claim_key(
    workspace: str, pipeline: str, idempotency_key: str, stage: str
) -> str:
    """Return the key of a claim; distinct arguments give distinct keys."""
    parts = (workspace, pipeline, idempotency_key, stage)
    return '/'.join(urllib.parse.quote(part, safe='') for part in parts)


def request_digest(request: messages.RequestArrived) -> str:
    """Return the hexadecimal digest of the request's payload."""
    return xxhash.xxh3_64_hexdigest(codec.to_json(request.payload))
