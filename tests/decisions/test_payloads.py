"""Payloads and paths of the calls to targets."""

import pytest

from godwitglade.decisions import documents
from godwitglade.decisions import payloads


@pytest.mark.parametrize(
    'payload, prompt',
    [
        ('explain', 'explain'),
        ({'prompt': 'explain', 'identity': 1}, 'explain'),
        ({'prompt': 7}, '{"prompt":7}'),
        ([1, 2], '[1,2]'),
    ],
)
def test_prompt(payload, prompt):
    assert payloads.prompt_of(payload) == prompt


@pytest.mark.parametrize(
    'kind, fields, path',
    [
        ('encode', {}, '/v1/run'),
        ('generate', {}, '/v1/completions'),
        ('generate', {'path': '/v2/text'}, '/v2/text'),
        ('call', {'path': '/v1/activations'}, '/v1/activations'),
    ],
)
def test_path_of_a_call(kind, fields, path):
    stage = documents.Stage(
        's', documents.StageKind(kind), 'p', budget_ms=1, **fields
    )
    assert stage.call_path == path
