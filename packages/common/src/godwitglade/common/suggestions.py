"""Names the nearest known word to an unknown one."""

import difflib
import typing

SHOWN_CHARS = 40


def unknown_key(key: typing.Any, known: typing.Iterable[str]) -> str:
    """Return the fault of an unknown ``key`` with its nearest known one."""
    return 'is not known' + nearest(key, known)


def nearest(word: typing.Any, known: typing.Iterable[str]) -> str:
    """Return a hint that names the nearest known word, else all of them."""
    names = sorted(known)
    text = str(word)[:SHOWN_CHARS] if isinstance(word, str) else ''
    close = difflib.get_close_matches(text, names, n=1)
    if close:
        return f'; did you mean {close[0]!r}?'
    return '; known are ' + ', '.join(names)
