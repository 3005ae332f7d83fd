"""Tests of the JSON codec: round trips and malformed input."""

import pytest

from godwitglade.common import codec
from godwitglade.common import errors
from godwitglade.coordination import rows
from godwitglade.decisions import documents


def test_attrs_object_round_trip():
    write = rows.Write(rows.RowKey('claims', 'a'), {'state': 'sent'})
    assert codec.from_json(codec.to_json(write), rows.Write) == write


@pytest.mark.parametrize(
    'raw',
    [b'', b'{', b'[]', b'{"name": {}}', b'{"name": "a", "share": "x"}'],
)
def test_malformed_input_is_a_typed_error(raw):
    with pytest.raises(errors.MalformedError):
        codec.from_json(raw, documents.Workspace)
