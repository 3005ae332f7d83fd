"""Line patches between versions of a document."""

import hypothesis
from hypothesis import strategies
import pytest

from godwitglade.coordination import patches

LINES = strategies.lists(
    strategies.sampled_from(['a\n', 'b\n', 'c\r\n', '\n', 'd', '\u2028'])
)
TEXTS = LINES.map(''.join)


@hypothesis.given(TEXTS, TEXTS)
@hypothesis.settings(derandomize=True, max_examples=200)
def test_applied_patch_produces_the_new_text(old, new):
    assert patches.apply(old, patches.make(old, new)) == new


def test_patch_of_one_line_is_small():
    old = ''.join(f'line {number}\n' for number in range(500))
    new = old.replace('line 250\n', 'line 250 changed\n')
    assert patches.make(old, new).size_chars < 100


def test_patch_is_refused_for_a_different_text():
    patch = patches.make('a\nb\n', 'a\nc\n')
    with pytest.raises(patches.PatchError):
        patches.apply('x\nb\n', patch)
