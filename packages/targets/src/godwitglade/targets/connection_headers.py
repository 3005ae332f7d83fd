"""Headers that apply to a single connection and are not forwarded."""

import typing

HOP_BY_HOP_HEADERS = frozenset(
    {
        'connection',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
        'content-length',
        'expect',
    }
)


def without(
    fields: typing.Iterable[tuple[str, str]],
    dropped: frozenset[str] = frozenset(),
) -> list[tuple[str, str]]:
    """Return the headers that are forwarded, except those ``dropped``."""
    pairs = list(fields)
    options = [v for k, v in pairs if k.lower() == 'connection']
    named = {part.strip().lower() for part in ','.join(options).split(',')}
    excluded = HOP_BY_HOP_HEADERS | dropped | named
    return [(k, v) for k, v in pairs if k.lower() not in excluded]
