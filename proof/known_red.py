"""Reader of KNOWN-RED.txt, the tests that fail for unrepaired faults."""

import pathlib

PATH = pathlib.Path(__file__).parent.parent / 'KNOWN-RED.txt'
PREFIX = 'test: '


def names() -> set[str]:
    """Return the names of the listed tests; empty without the file."""
    if not PATH.exists():
        return set()
    lines = PATH.read_text().splitlines()
    return {
        line.removeprefix(PREFIX).strip()
        for line in lines
        if line.startswith(PREFIX)
    }
