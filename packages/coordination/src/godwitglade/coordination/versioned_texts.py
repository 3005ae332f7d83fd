"""Documents as versioned texts with one global change sequence.

Neither the version of a text nor the sequence ever decreases.
"""

import collections
import collections.abc

import attrs

from godwitglade.common import codec
from godwitglade.coordination import bodies
from godwitglade.coordination import patches

#: Number of recent changes retained for peers that are behind.
RECENT_LIMIT = 512


@attrs.frozen
class Applied:
    """The change was applied to the texts."""

    document: bodies.StoredDocument


@attrs.frozen
class AlreadyHeld:
    """The texts already hold this version or a later one."""


@attrs.frozen
class BaseMissing:
    """The change is a patch for a version that is not held here."""

    pipeline: str


Result = Applied | AlreadyHeld | BaseMissing


class VersionedTexts:
    """The texts in force on this host and the most recent changes."""

    def __init__(self) -> None:
        self.sequence = 0
        self._held: dict[str, bodies.StoredDocument] = {}
        self._recent: collections.deque[bodies.Change] = collections.deque(
            maxlen=RECENT_LIMIT
        )

    def __iter__(self) -> collections.abc.Iterator[bodies.StoredDocument]:
        return iter(self._held.values())

    def get(self, pipeline: str) -> bodies.StoredDocument | None:
        """Return the document of ``pipeline``, None when not held."""
        return self._held.get(pipeline)

    def apply(self, change: bodies.Change) -> Result:
        """Apply ``change``, which must be the next in the sequence."""
        result = self._apply_text(change)
        if not isinstance(result, BaseMissing):
            self._record(change)
        return result

    def restore(self, document: bodies.StoredDocument) -> bool:
        """Store ``document`` if it is newer; return whether it was stored."""
        held = self._held.get(document.pipeline)
        if held is not None and held.version >= document.version:
            return False
        self._held[document.pipeline] = document
        return True

    def advance(self, sequence: int) -> None:
        """Raise the sequence after documents were restored."""
        if sequence > self.sequence:
            self.sequence = sequence
            self._recent.clear()

    def changes_after(self, sequence: int) -> tuple[bodies.Change, ...] | None:
        """Return the changes after ``sequence``, None if not retained."""
        if sequence >= self.sequence:
            return ()
        missing = self.sequence - sequence
        if missing > len(self._recent):
            return None
        return tuple(self._recent)[-missing:]

    def page_after(
        self, pipeline: str, limit: int
    ) -> tuple[bodies.StoredDocument, ...]:
        """Return up to ``limit`` documents after ``pipeline``, by name."""
        names = sorted(name for name in self._held if name > pipeline)
        return tuple(self._held[name] for name in names[:limit])

    def _apply_text(self, change: bodies.Change) -> Result:
        held = self._held.get(change.pipeline)
        if held is not None and held.version >= change.version:
            return AlreadyHeld()
        try:
            text = self._patched_text(held, change)
        except patches.PatchError:
            return BaseMissing(change.pipeline)
        document = bodies.StoredDocument(
            change.pipeline,
            change.version,
            change.sequence,
            text,
        )
        self._held[change.pipeline] = document
        return Applied(document)

    def _patched_text(
        self, held: bodies.StoredDocument | None, change: bodies.Change
    ) -> str | None:
        if change.patch is None:
            return change.text
        # The digest of the patch rejects any text other than its base.
        base = held.text if held is not None else None
        return patches.apply(base or '', change.patch)

    def _record(self, change: bodies.Change) -> None:
        if change.sequence <= self.sequence:
            return
        self.sequence = change.sequence
        self._recent.append(change)


def size_bytes(change: bodies.Change) -> int:
    """Return the approximate size of ``change`` in a message."""
    if change.text is not None:
        return len(change.text)
    return len(codec.to_json(change.patch))
