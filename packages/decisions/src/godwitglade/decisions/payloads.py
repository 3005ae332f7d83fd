"""Payloads of the calls to targets."""

import functools
import typing

from godwitglade.common import codec
from godwitglade.decisions import documents
from godwitglade.decisions import jobs


def payload_of(job: jobs.Job) -> dict[str, typing.Any]:
    """Return the request and the results so far, as an engine's input."""
    gathered = {'request': job.request.payload, 'results': dict(job.results)}
    if job.stage.kind is not documents.StageKind.GENERATE:
        return gathered
    return {
        **_model_fields(job.stage.model),
        'prompt': prompt_of(job.request.payload),
        'input': gathered,
    }


@functools.singledispatch
def prompt_of(payload: typing.Any) -> str:
    """Return the prompt in a caller's payload."""
    return codec.to_json(payload).decode()


@prompt_of.register
def _(payload: str) -> str:
    return payload


@prompt_of.register
def _(payload: dict) -> str:
    prompt = payload.get('prompt')
    if isinstance(prompt, str):
        return prompt
    return codec.to_json(payload).decode()


def _model_fields(model: documents.Model | None) -> dict[str, typing.Any]:
    if model is None:
        return {}
    return {
        'model': model.name,
        'version': model.version,
        'adapters': list(model.adapters),
    }
