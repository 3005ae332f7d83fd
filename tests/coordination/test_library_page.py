"""The examples of docs/LIBRARY.md run as they stand."""

import pathlib
import re

import pytest

PAGE = pathlib.Path(__file__).parents[2] / 'docs' / 'LIBRARY.md'
BLOCK = re.compile(r'^## (.+?)$|^```python\n(.*?)^```$', re.M | re.S)


def read_examples():
    title = ''
    for found in BLOCK.finditer(PAGE.read_text()):
        title = found[1] or title
        if found[2]:
            yield pytest.param(found[2], id=title)


@pytest.mark.parametrize('source', list(read_examples()))
def test_example_runs(source):
    exec(compile(source, str(PAGE), 'exec'), {})
