"""Which engine should serve which model, and which may load now."""

import itertools
import typing

import attrs

from godwitglade.coordination import hashing
from godwitglade.decisions import documents
from godwitglade.decisions import targets

#: Required ratio of the capacity left while an engine loads to the load.
HEADROOM = 1.25

#: Share of a group's engines that may load at the same time.
LOADING_SHARE = 0.25


@attrs.frozen
class EngineState:
    """What an engine reports to serve; ``model`` is None for no model."""

    model: documents.Model | None
    role: str | None = None


def parse_state(plain: typing.Any) -> EngineState | None:
    """Return the state in an engine's answer, None when malformed."""
    if not isinstance(plain, dict):
        return None
    role = plain.get('role')
    name, version = plain.get('model'), plain.get('version')
    if not (isinstance(name, str) and isinstance(version, str)):
        return EngineState(None, role)
    adapters = plain.get('adapters') or ()
    if not isinstance(adapters, (list, tuple)):
        return None
    return EngineState(
        documents.Model(name, version, tuple(map(str, adapters))), role
    )


def wanted_models(
    in_force: typing.Iterable[documents.Document],
) -> dict[str, tuple[documents.Model, ...]]:
    """Return the models that each pool must serve, sorted."""
    stages = itertools.chain.from_iterable(one.stages for one in in_force)
    wanted: dict[str, set[documents.Model]] = {}
    for stage in stages:
        if stage.model is not None:
            wanted.setdefault(stage.pool, set()).add(stage.model)
    return {
        pool: tuple(sorted(models, key=attrs.astuple))
        for pool, models in wanted.items()
    }


def merged_pool(
    in_force: typing.Iterable[documents.Document], name: str
) -> documents.Pool:
    """Return pool ``name``; it checks fencing if all documents agree."""
    listed = [
        pool
        for document in in_force
        for pool in document.pools
        if pool.name == name
    ]
    checks = bool(listed) and all(one.checks_fencing for one in listed)
    return documents.Pool(name, checks_fencing=checks)


def assign(
    group: str,
    models: tuple[documents.Model, ...],
    states: dict[str, EngineState],
) -> dict[str, documents.Model]:
    """Return the model of each engine, in equal shares with few changes.

    ``states`` has every engine of the group. Where there are fewer engines
    than models, different zones start with different models.
    """
    names = sorted(states)
    quotas = _quotas(group, models, len(names))
    assigned: dict[str, documents.Model] = {}
    for is_match in (_is_same, _is_other_version, _is_any):
        for name in names:
            if name in assigned:
                continue
            model = next(
                (
                    model
                    for model, remaining in quotas.items()
                    if remaining and is_match(states[name].model, model)
                ),
                None,
            )
            if model is not None:
                assigned[name] = model
                quotas[model] -= 1
    return assigned


def choose_to_load(
    mismatched: list[str],
    states: dict[str, EngineState],
    loading: set[str],
    loads: dict[str, targets.Load],
) -> list[str]:
    """Return the engines of ``mismatched`` that may load now.

    An engine that serves a model counts as capacity until it loads. The
    remaining capacity must carry the load of the group; while the load of
    any serving engine is unknown, no serving engine may load.
    """
    free_count = max(1, int(len(states) * LOADING_SHARE)) - len(loading)
    serving = {
        name
        for name, state in states.items()
        if state.model is not None and name not in loading
    }
    chosen: list[str] = []
    for name in sorted(mismatched, key=lambda one: (one in serving, one)):
        if len(chosen) >= free_count:
            break
        if name in serving and not _is_spare(name, serving, loads):
            continue
        serving.discard(name)
        chosen.append(name)
    return chosen


def _is_spare(
    name: str, serving: set[str], loads: dict[str, targets.Load]
) -> bool:
    if any(one not in loads for one in serving):
        return False
    own = loads[name]
    if own.running + own.queued == 0 and len(serving) == 1:
        return True
    needed = sum(loads[one].running + loads[one].queued for one in serving)
    remaining = sum(loads[one].capacity for one in serving - {name})
    return remaining > 0 and remaining >= needed * HEADROOM


def _quotas(
    group: str, models: tuple[documents.Model, ...], engine_count: int
) -> dict[documents.Model, int]:
    start = hashing.digest(group) % len(models)
    rotated = models[start:] + models[:start]
    share, remainder = divmod(engine_count, len(models))
    return {
        model: share + (index < remainder)
        for index, model in enumerate(rotated)
    }


def _is_same(served: documents.Model | None, wanted: documents.Model) -> bool:
    return served == wanted


def _is_other_version(
    served: documents.Model | None, wanted: documents.Model
) -> bool:
    return served is not None and served.name == wanted.name


def _is_any(served: documents.Model | None, wanted: documents.Model) -> bool:
    return True
