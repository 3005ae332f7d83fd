"""Parses YAML text into a `decisions.documents.Document`."""

import collections
import typing

from godwitglade.common import suggestions
from godwitglade.common import validation
from godwitglade.common import yaml_text
from godwitglade.decisions import documents
from godwitglade.operators import errors
from godwitglade.operators import schema


def parse_document(text: str) -> documents.Document:
    """Return the document in ``text``.

    Raises DocumentError with all faults. Conflicts between fields are
    checked only when each field is valid by itself.
    """
    try:
        document = validation.read(schema.DOCUMENT, yaml_text.parse(text))
    except validation.FaultsError as error:
        raise errors.DocumentError(error.faults) from error
    faults = tuple(find_conflicts(document))
    if faults:
        raise errors.DocumentError(faults)
    return document


def find_conflicts(
    document: documents.Document,
) -> typing.Iterator[validation.Fault]:
    """Yield the conflicts between fields of ``document``."""
    for field in ('stages', 'workspaces', 'pools'):
        yield from _duplicate_names(field, getattr(document, field))
    for index, stage in enumerate(document.stages):
        yield from _stage_conflicts(f'stages[{index}]', stage, document)
    yield from _model_conflicts(document)
    yield from _unused_pools(document)
    if document.default_priority not in document.priorities:
        hint = suggestions.suggest_from(
            document.default_priority, document.priorities
        )
        yield validation.Fault(
            'default_priority', f'is not defined in priorities{hint}'
        )


def _duplicate_names(field: str, items) -> typing.Iterator[validation.Fault]:
    counts = collections.Counter()
    for index, item in enumerate(items):
        counts[item.name] += 1
        if counts[item.name] > 1:
            yield validation.Fault(
                f'{field}[{index}].name', f'duplicate name {item.name!r}'
            )


def _stage_conflicts(
    path: str, stage: documents.Stage, document: documents.Document
) -> typing.Iterator[validation.Fault]:
    is_generate = stage.kind is documents.StageKind.GENERATE
    if stage.budget_ms > document.deadline_ms:
        yield validation.Fault(
            f'{path}.budget_ms',
            f'must be at most deadline_ms, {document.deadline_ms} ms, '
            f'not {stage.budget_ms}',
        )
    if stage.is_hedged and not stage.is_repeatable:
        yield validation.Fault(
            f'{path}.is_hedged', 'must be false when is_repeatable is false'
        )
    if is_generate and stage.model is None:
        yield validation.Fault(
            f'{path}.model', 'is required for a generate stage'
        )
    if stage.model is not None and not is_generate:
        yield validation.Fault(
            f'{path}.model', 'is allowed only for a generate stage'
        )


def _model_conflicts(
    document: documents.Document,
) -> typing.Iterator[validation.Fault]:
    versions = {}
    for index, stage in enumerate(document.stages):
        if stage.model is None:
            continue
        pool_model = (stage.pool, stage.model.name)
        version = versions.setdefault(pool_model, stage.model.version)
        if version != stage.model.version:
            yield validation.Fault(
                f'stages[{index}].model.version',
                f'must be {version!r} to match an earlier stage on pool '
                f'{stage.pool}, not {stage.model.version!r}',
            )


def _unused_pools(
    document: documents.Document,
) -> typing.Iterator[validation.Fault]:
    used = {stage.pool for stage in document.stages}
    for index, pool in enumerate(document.pools):
        if pool.name not in used:
            hint = suggestions.suggest_from(pool.name, used)
            yield validation.Fault(
                f'pools[{index}].name', f'is not used by any stage{hint}'
            )
