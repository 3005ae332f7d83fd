"""Sizes of the chunks of a body (RFC 9112, section 7.1).

The parsers of http.client and cheroot take any spelling that ``int`` takes,
so that a malformed size can count as that of the last chunk.
"""

import re

_SIZE_LINE = re.compile(rb'([0-9A-Fa-f]+)[ \t]*(?:;[^\n]*)?\r?\n')


def parse(line: bytes) -> int:
    """Return the size in the line before a chunk; raises ValueError."""
    match = _SIZE_LINE.fullmatch(line)
    if match is None:
        raise ValueError('the size of a chunk is malformed')
    return int(match[1], 16)
