"""Rows of the table ``claims``: their keys, states and contents."""

import enum
import typing

import attrs
import xxhash

from godwitglade.common import codec
from godwitglade.common import errors
from godwitglade.coordination import hosts
from godwitglade.coordination import rows

TABLE = 'claims'

#: Larger outcomes are stored in the object store, under the claim's nonce.
MAX_OUTCOME_BYTES = 16 * 1024


class State(enum.Enum):
    """State of a claim's row."""

    DISPATCHED = 'dispatched'
    SETTLED = 'settled'
    NOT_RUN = 'not_run'


@attrs.frozen
class ClaimRow:
    """The content of a row.

    ``address`` is the owner's listener for peers. ``written_at_ms`` is wall
    time. The outcome of a settled row without ``outcome`` is in an object.
    """

    state: State
    owner: hosts.HostId
    nonce: str
    digest: str
    address: str = ''
    written_at_ms: int = 0
    outcome: dict[str, typing.Any] | None = None


def row_key(claim_key: str) -> rows.RowKey:
    """Return the key of the row of ``claim_key``.

    A hash prefix distributes the rows evenly over the scans.
    """
    prefix = xxhash.xxh3_64_intdigest(claim_key.encode()) & 0xFFFF
    return rows.RowKey(TABLE, f'{prefix:04x}/{claim_key}')


def object_name(nonce: str) -> str:
    """Return the name of the object that holds a large outcome."""
    return f'claim-outcomes/{nonce}'


def parse(row: rows.Row) -> ClaimRow | None:
    """Return the content of ``row``, None when it is malformed."""
    try:
        return codec.from_plain(row.value, ClaimRow)
    except errors.MalformedError:
        return None


def write(claim_key: str, content: ClaimRow) -> rows.Write:
    """Return the write that sets the row of ``claim_key``."""
    plain = {**codec.to_plain(content), 'state': content.state.value}
    return rows.Write(row_key(claim_key), plain)


def is_large(outcome: dict[str, typing.Any]) -> bool:
    """Return whether ``outcome`` is too large for a row."""
    return len(codec.to_json(outcome)) > MAX_OUTCOME_BYTES
