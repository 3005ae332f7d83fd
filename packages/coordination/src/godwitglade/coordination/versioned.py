"""Documents as versioned texts under one global change sequence.

A text never goes back to a lower version, and the sequence never shrinks.
"""

import collections
import collections.abc

import attrs

from godwitglade.common import codec
from godwitglade.coordination import bodies
from godwitglade.coordination import patches

#: Changes kept to serve peers that are behind.
RECENT_LIMIT = 512


@attrs.frozen
class Applied:
    """The change is in the texts now."""

    document: bodies.HeldDocument


@attrs.frozen
class AlreadyHeld:
    """The texts already hold this version or a later one."""


@attrs.frozen
class BaseMissing:
    """The change is a patch against a version that is not held."""

    pipeline: str


Result = Applied | AlreadyHeld | BaseMissing


class VersionedTexts:
    """The texts in force here and the last changes that led to them."""

    def __init__(self) -> None:
        self.sequence = 0
        self._held: dict[str, bodies.HeldDocument] = {}
        self._recent: collections.deque[bodies.Change] = collections.deque(
            maxlen=RECENT_LIMIT
        )

    def __iter__(self) -> collections.abc.Iterator[bodies.HeldDocument]:
        return iter(self._held.values())

    def get(self, pipeline: str) -> bodies.HeldDocument | None:
        """Return the document of ``pipeline`` as held."""
        return self._held.get(pipeline)

    def apply(self, change: bodies.Change) -> Result:
        """Apply ``change``, which must be the next of the sequence."""
        result = self._apply_text(change)
        if not isinstance(result, BaseMissing):
            self._record(change)
        return result

    def restore(self, document: bodies.HeldDocument) -> bool:
        """Take a whole document if it is newer; tell whether it was."""
        held = self._held.get(document.pipeline)
        if held is not None and held.version >= document.version:
            return False
        self._held[document.pipeline] = document
        return True

    def advance(self, sequence: int) -> None:
        """Raise the sequence after whole documents were restored."""
        if sequence > self.sequence:
            self.sequence = sequence
            self._recent.clear()

    def changes_after(self, sequence: int) -> tuple[bodies.Change, ...] | None:
        """Return the changes after ``sequence``, None when too old."""
        if sequence >= self.sequence:
            return ()
        missing = self.sequence - sequence
        if missing > len(self._recent):
            return None
        return tuple(self._recent)[-missing:]

    def page_after(
        self, pipeline: str, limit: int
    ) -> tuple[bodies.HeldDocument, ...]:
        """Return up to ``limit`` documents by name after ``pipeline``."""
        names = sorted(name for name in self._held if name > pipeline)
        return tuple(self._held[name] for name in names[:limit])

    def _apply_text(self, change: bodies.Change) -> Result:
        held = self._held.get(change.pipeline)
        if held is not None and held.version >= change.version:
            return AlreadyHeld()
        try:
            text = self._text_after(held, change)
        except patches.PatchError:
            return BaseMissing(change.pipeline)
        document = bodies.HeldDocument(
            change.pipeline,
            change.version,
            change.sequence,
            text,
        )
        self._held[change.pipeline] = document
        return Applied(document)

    def _text_after(
        self, held: bodies.HeldDocument | None, change: bodies.Change
    ) -> str | None:
        if change.patch is None:
            return change.text
        # The patch's digest refuses any other text than its base.
        base = held.text if held is not None else None
        return patches.apply(base or '', change.patch)

    def _record(self, change: bodies.Change) -> None:
        if change.sequence <= self.sequence:
            return
        self.sequence = change.sequence
        self._recent.append(change)


def size_bytes(change: bodies.Change) -> int:
    """Return about how much of a message ``change`` takes."""
    if change.text is not None:
        return len(change.text)
    return len(codec.to_json(change.patch))
