"""Suggests known names that are similar to an unknown name."""

import difflib
import typing

SHOWN_CHARS = 40


def unknown_key(key: typing.Any, known: typing.Iterable[str]) -> str:
    """Return the reason of a fault for an unknown ``key``, with a hint."""
    return 'is not known' + suggest_from(key, known)


def suggest_from(word: typing.Any, known: typing.Iterable[str]) -> str:
    """Return a hint that names the most similar known word, or all words."""
    names = sorted(known)
    text = str(word)[:SHOWN_CHARS] if isinstance(word, str) else ''
    close = difflib.get_close_matches(text, names, n=1)
    if close:
        return f'; did you mean {close[0]!r}?'
    return '; expected one of ' + ', '.join(names)
