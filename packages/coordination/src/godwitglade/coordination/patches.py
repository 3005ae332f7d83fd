"""Line patches between two versions of a document's text.

A line patch preserves comments and layout, which a patch of the parsed
structure would lose. It carries a digest of its result, so that it cannot be
applied to a text other than the one it was made for.
"""

import difflib

import attrs
import xxhash

from godwitglade.common import errors


@attrs.define(auto_exc=True, str=False)
class PatchError(errors.CodedError):
    """The patch does not match the text that it was applied to."""

    code = 'patch_mismatch'
    http_status = 409
    is_retryable = True
    template = 'the patched text has digest {found}, not {expected}'

    expected: str
    found: str


@attrs.frozen
class Edit:
    """Replaces lines from ``start`` up to but excluding ``end``."""

    start: int
    end: int
    text: str


@attrs.frozen
class Patch:
    """Edits in line order and the digest of the resulting text."""

    digest: str
    edits: tuple[Edit, ...]

    @property
    def size_chars(self) -> int:
        """Return the approximate length of the patch as JSON."""
        return len(self.digest) + sum(
            EDIT_OVERHEAD_CHARS + len(edit.text) for edit in self.edits
        )


EDIT_OVERHEAD_CHARS = 40


def digest_of(text: str) -> str:
    """Return the hexadecimal xxh3-64 of ``text`` as UTF-8."""
    return xxhash.xxh3_64_hexdigest(text.encode())


def make(old: str, new: str) -> Patch:
    """Return the patch that turns ``old`` into ``new``."""
    old_lines = old.splitlines(keepends=True)
    new_lines = new.splitlines(keepends=True)
    matcher = difflib.SequenceMatcher(None, old_lines, new_lines, False)
    edits = tuple(
        Edit(start, end, ''.join(new_lines[new_start:new_end]))
        for tag, start, end, new_start, new_end in matcher.get_opcodes()
        if tag != 'equal'
    )
    return Patch(digest_of(new), edits)


def apply(old: str, patch: Patch) -> str:
    """Return ``old`` with ``patch`` applied.

    Raises PatchError when the result is not the text that the patch was
    made for.
    """
    lines = old.splitlines(keepends=True)
    for edit in reversed(patch.edits):
        lines[edit.start : edit.end] = [edit.text]
    new = ''.join(lines)
    found = digest_of(new)
    if found != patch.digest:
        raise PatchError(patch.digest, found)
    return new
