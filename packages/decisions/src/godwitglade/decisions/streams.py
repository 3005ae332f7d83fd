"""Assembly of a streamed text from the pieces of one or more attempts."""

import attrs
import xxhash

#: Pieces buffered after a missing one.
MAX_EARLY_PIECES = 64


@attrs.define(eq=False)
class StreamFeed:
    """The pieces of one attempt, appended in order to a shared text.

    ``text`` holds the characters accepted so far, including the prefix from
    earlier attempts. A feed is broken when a piece contradicts the text,
    when too many pieces follow a missing one, or when the length or the
    digest in the final frame does not match.
    """

    text: str = ''
    is_broken: bool = False
    end: tuple[int, str] | None = None
    _early_pieces: dict[int, str] = attrs.Factory(dict)

    def add(self, offset: int, piece: str) -> str:
        """Add a piece; return the new text that it completes."""
        before = len(self.text)
        self._early_pieces.setdefault(offset, piece)
        while not self.is_broken and self._append_next():
            pass
        if len(self._early_pieces) > MAX_EARLY_PIECES:
            self.is_broken = True
        self._check_end()
        return '' if self.is_broken else self.text[before:]

    def finish(self, length: int, digest: str) -> None:
        """Apply the final frame."""
        self.end = (length, digest)
        self._check_end()

    @property
    def is_complete(self) -> bool:
        """Tell whether the complete text was received and verified."""
        return (
            self.end is not None
            and not self.is_broken
            and len(self.text) == self.end[0]
        )

    def _append_next(self) -> bool:
        offset = min(self._early_pieces, default=None)
        if offset is None or offset > len(self.text):
            return False
        piece = self._early_pieces.pop(offset)
        overlap = self.text[offset : offset + len(piece)]
        if not piece.startswith(overlap):
            self.is_broken = True
        self.text += piece[len(overlap) :]
        return True

    def _check_end(self) -> None:
        if self.end is None or len(self.text) < self.end[0]:
            return
        has_full_length = len(self.text) == self.end[0]
        if not has_full_length or digest_of(self.text) != self.end[1]:
            self.is_broken = True


def digest_of(text: str) -> str:
    """Return the hexadecimal xxh3-64 of the text's UTF-8 bytes."""
    return xxhash.xxh3_64_hexdigest(text.encode())
