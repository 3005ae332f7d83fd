"""What a host loads before it can serve."""

import subprocess
import sys

import pytest

LIST_MODULES = (
    'import sys, godwitglade.edge.core, godwitglade.edge.assembly;'
    "print('\\n'.join(sys.modules))"
)


@pytest.fixture(scope='module')
def loaded():
    """Return the modules of a fresh interpreter with the edge program."""
    ended = subprocess.run(
        [sys.executable, '-c', LIST_MODULES],
        env={'PYTHONPATH': ':'.join(sys.path)},
        capture_output=True,
        check=True,
        text=True,
    )
    return set(ended.stdout.split())


@pytest.mark.parametrize(
    'name',
    ['asyncio', 'cherrypy', 'godwitglade.decisions', 'rich', 'typer'],
)
def test_edge_program_does_not_load(loaded, name):
    assert 'godwitglade.routing.host' in loaded
    assert name not in loaded
