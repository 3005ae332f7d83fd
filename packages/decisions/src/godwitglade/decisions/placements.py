"""Which engine should serve which model, and which may be taken out now."""

import itertools
import typing

import attrs

from godwitglade.coordination import hashing
from godwitglade.decisions import documents
from godwitglade.decisions import targets

#: Capacity that stays while an engine loads, over what the load needs.
HEADROOM = 1.25

#: Share of a group's engines that may load at the same time.
LOADING_SHARE = 0.25


@attrs.frozen
class EngineState:
    """What an engine said it serves; ``model`` None for nothing."""

    model: documents.Model | None
    role: str | None = None


def parse_state(plain: typing.Any) -> EngineState | None:
    """Return the state that an engine answered, None when malformed."""
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
    """Return the models that each pool has to serve, in a fixed order."""
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
    """Return pool ``name``; it checks fencing only if all documents say so."""
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
    """Return the model of each engine, in equal shares with few moves.

    ``states`` has every engine of the group. Where there are fewer engines
    than models, zones begin with different models.
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
                    for model, left in quotas.items()
                    if left and is_match(states[name].model, model)
                ),
                None,
            )
            if model is not None:
                assigned[name] = model
                quotas[model] -= 1
    return assigned


def choose_to_load(
    wrong: list[str],
    states: dict[str, EngineState],
    loading: set[str],
    loads: dict[str, targets.Load],
) -> list[str]:
    """Return the engines of ``wrong`` that may load now.

    An engine that serves something counts as capacity until it loads. The
    capacity left must carry the load of the group; an unknown load of any
    engine that serves holds the others back.
    """
    most = max(1, int(len(states) * LOADING_SHARE)) - len(loading)
    serving = {
        name
        for name, state in states.items()
        if state.model is not None and name not in loading
    }
    chosen: list[str] = []
    for name in sorted(wrong, key=lambda one: (one in serving, one)):
        if len(chosen) >= most:
            break
        if name in serving and not _can_spare(name, serving, loads):
            continue
        serving.discard(name)
        chosen.append(name)
    return chosen


def _can_spare(
    name: str, serving: set[str], loads: dict[str, targets.Load]
) -> bool:
    if any(one not in loads for one in serving):
        return False
    own = loads[name]
    if own.running + own.queued == 0 and len(serving) == 1:
        return True
    need = sum(loads[one].running + loads[one].queued for one in serving)
    left = sum(loads[one].capacity for one in serving - {name})
    return left > 0 and left >= need * HEADROOM


def _quotas(
    group: str, models: tuple[documents.Model, ...], engine_count: int
) -> dict[documents.Model, int]:
    start = hashing.digest(group) % len(models)
    rotated = models[start:] + models[:start]
    share, rest = divmod(engine_count, len(models))
    return {
        model: share + (index < rest) for index, model in enumerate(rotated)
    }


def _is_same(served: documents.Model | None, wanted: documents.Model) -> bool:
    return served == wanted


def _is_other_version(
    served: documents.Model | None, wanted: documents.Model
) -> bool:
    return served is not None and served.name == wanted.name


def _is_any(served: documents.Model | None, wanted: documents.Model) -> bool:
    return True
