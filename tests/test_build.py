"""The build command of the deploy file."""

import os
import pathlib
import subprocess
import sys
import tomllib

import pytest

ROOT = pathlib.Path(__file__).parent.parent
#: Notes calls of pip; all else is done by the Python of the tests.
SHIM = """#!/bin/sh
case "$*" in
*"pip install"*) echo "$*" >> calls; mkdir -p target/deps ;;
*) exec {python} "$@" ;;
esac
"""


@pytest.fixture
def tree(tmp_path):
    """Return a tree with a package and a Python that notes its calls."""
    for folder in ('packages/one/src/godwitglade', 'platform/src/godwitglade'):
        (tmp_path / folder).mkdir(parents=True)
    (tmp_path / 'platform/requirements.txt').write_text('')
    os.utime(tmp_path / 'platform/requirements.txt', (0, 0))
    shim = tmp_path / 'bin/python3'
    shim.parent.mkdir()
    shim.write_text(SHIM.format(python=sys.executable))
    shim.chmod(0o755)
    return tmp_path


def build(tree):
    """Build the tree; return how often libraries were installed so far."""
    with (ROOT / 'deploy/system.toml').open('rb') as deploy_file:
        command = tomllib.load(deploy_file)['build']
    env = os.environ | {'PATH': f'{tree / "bin"}:{os.environ["PATH"]}'}
    subprocess.run(['sh', '-c', command], cwd=tree, env=env, check=True)
    return len((tree / 'calls').read_text().splitlines())


def test_libraries_of_another_kind_of_machine_are_replaced(tree):
    assert build(tree) == 1
    assert build(tree) == 1
    (own,) = (tree / 'target/deps').glob('.*')
    other = own.rename(own.with_name('.built-for-other-cpython-311'))
    assert build(tree) == 2
    assert own.exists() and not other.exists()
    assert (tree / 'target/deps/godwitglade').is_dir()
