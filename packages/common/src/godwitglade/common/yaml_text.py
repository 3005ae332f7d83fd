"""Parses untrusted YAML: limits its size and rejects aliases and tags.

The data is built from the parser's events in one pass, which takes less than
half the time of checking the events first and then loading the text.
"""

import functools
import itertools
import typing

import yaml

from godwitglade.common import validation

MAX_CHARS = 262_144
MAX_DEPTH = 12
MAX_EVENTS = 40_000
#: Maximum length of plain scalars whose values are cached.
MAX_CACHED_CHARS = 40
CACHED_SCALARS = 2_048

_Loader = getattr(yaml, 'CSafeLoader', yaml.SafeLoader)
_Events = typing.Iterator[yaml.Event]


def parse(text: str) -> typing.Any:
    """Return the data in ``text``; raises validation.FaultsError.

    The text is rejected if it is longer than MAX_CHARS, nested deeper than
    MAX_DEPTH or has more than MAX_EVENTS events, and if it has aliases,
    anchors, tags or duplicate keys.
    """
    if len(text) > MAX_CHARS:
        raise _make_fault(f'must be at most {MAX_CHARS} characters')
    try:
        return _build_document(_parse_events(text))
    except yaml.MarkedYAMLError as error:
        raise _make_fault(_describe_error(error)) from error
    except (yaml.YAMLError, ValueError, OverflowError) as error:
        raise _make_fault(f'is not YAML: {error}') from error


def _parse_events(text: str) -> _Events:
    for count, event in enumerate(yaml.parse(text, Loader=_Loader)):
        if count > MAX_EVENTS:
            raise _make_error(event, 'the text has too many values')
        yield event


def _build_document(events: _Events) -> typing.Any:
    value = None
    for event in events:
        if isinstance(event, yaml.DocumentStartEvent):
            value = _build_value(next(events), events, 1)
            _check_end(events)
    return value


def _check_end(events: _Events) -> None:
    next(events)
    following = next(events)
    if not isinstance(following, yaml.StreamEndEvent):
        raise _make_error(following, 'more than one document')


def _build_value(event: yaml.Event, events: _Events, depth: int) -> typing.Any:
    if isinstance(event, yaml.AliasEvent) or event.anchor is not None:
        raise _make_error(event, 'aliases and anchors are not accepted')
    if event.tag is not None:
        raise _make_error(event, 'tags are not accepted')
    if isinstance(event, yaml.ScalarEvent):
        return _build_scalar(event)
    if depth > MAX_DEPTH:
        raise _make_error(event, f'nested deeper than {MAX_DEPTH} levels')
    if isinstance(event, yaml.SequenceStartEvent):
        return _build_sequence(events, depth + 1)
    return _build_mapping(events, depth + 1)


def _build_sequence(events: _Events, depth: int) -> list:
    inner = itertools.takewhile(_is_before_sequence_end, events)
    return [_build_value(event, events, depth) for event in inner]


def _build_mapping(events: _Events, depth: int) -> dict:
    mapping = {}
    for event in itertools.takewhile(_is_before_mapping_end, events):
        key = _build_key(event, events, depth)
        if key in mapping:
            shown = validation.format_value(key)
            raise _make_error(event, f'duplicate key {shown}')
        mapping[key] = _build_value(next(events), events, depth)
    return mapping


def _build_key(event: yaml.Event, events: _Events, depth: int) -> typing.Any:
    if isinstance(event, yaml.CollectionStartEvent):
        raise _make_error(event, 'a key must be a single value')
    return _build_value(event, events, depth)


def _is_before_sequence_end(event: yaml.Event) -> bool:
    return not isinstance(event, yaml.SequenceEndEvent)


def _is_before_mapping_end(event: yaml.Event) -> bool:
    return not isinstance(event, yaml.MappingEndEvent)


def _build_scalar(event: yaml.ScalarEvent) -> typing.Any:
    is_plain = event.implicit[0]
    if not is_plain:
        return event.value
    if len(event.value) <= MAX_CACHED_CHARS:
        return _resolve_cached(event.value)
    return _resolve_plain(event.value)


def _resolve_plain(text: str) -> typing.Any:
    """Return the value of an unquoted scalar."""
    resolver = yaml.resolver.Resolver()
    tag = resolver.resolve(yaml.ScalarNode, text, (True, False))
    node = yaml.ScalarNode(tag, text)
    return yaml.constructor.SafeConstructor().construct_document(node)


_resolve_cached = functools.lru_cache(CACHED_SCALARS)(_resolve_plain)


def _make_error(event: yaml.Event, reason: str) -> yaml.MarkedYAMLError:
    return yaml.MarkedYAMLError(None, None, reason, event.start_mark)


def _describe_error(error: yaml.MarkedYAMLError) -> str:
    mark = error.problem_mark
    if mark is None:
        return f'is not YAML: {error.problem}'
    position = f'line {mark.line + 1}, column {mark.column + 1}'
    return f'{position}: {error.problem}'


def _make_fault(reason: str) -> validation.FaultsError:
    return validation.FaultsError((validation.Fault('$', reason),))
