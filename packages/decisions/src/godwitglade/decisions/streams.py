"""Assembly of a streamed text from pieces of one or more attempts."""

import attrs
import xxhash

#: Pieces kept that arrived ahead of a missing one.
MAX_AHEAD = 64


@attrs.define(eq=False)
class StreamFeed:
    """The pieces of one attempt, appended in order to a shared text.

    ``text`` holds the characters accepted so far, the prefix of earlier
    attempts included. A feed is broken when a piece contradicts the text,
    when too many pieces are ahead of a missing one, or when the final
    frame's length or digest does not match.
    """

    text: str = ''
    is_broken: bool = False
    end: tuple[int, str] | None = None
    _ahead: dict[int, str] = attrs.Factory(dict)

    def add(self, offset: int, piece: str) -> str:
        """Take a piece in; return the new text that it completes."""
        before = len(self.text)
        self._ahead.setdefault(offset, piece)
        while not self.is_broken and self._take_next():
            pass
        if len(self._ahead) > MAX_AHEAD:
            self.is_broken = True
        self._check_end()
        return '' if self.is_broken else self.text[before:]

    def finish(self, length: int, digest: str) -> None:
        """Take the final frame in."""
        self.end = (length, digest)
        self._check_end()

    @property
    def is_complete(self) -> bool:
        """Tell whether the whole text arrived and matches its digest."""
        return (
            self.end is not None
            and not self.is_broken
            and len(self.text) == self.end[0]
        )

    def _take_next(self) -> bool:
        offset = min(self._ahead, default=None)
        if offset is None or offset > len(self.text):
            return False
        piece = self._ahead.pop(offset)
        overlap = self.text[offset : offset + len(piece)]
        if not piece.startswith(overlap):
            self.is_broken = True
        self.text += piece[len(overlap) :]
        return True

    def _check_end(self) -> None:
        if self.end is None or len(self.text) < self.end[0]:
            return
        is_whole = len(self.text) == self.end[0]
        if not is_whole or digest_of(self.text) != self.end[1]:
            self.is_broken = True


def digest_of(text: str) -> str:
    """Return the hexadecimal xxh3-64 of the text's UTF-8 bytes."""
    return xxhash.xxh3_64_hexdigest(text.encode())
