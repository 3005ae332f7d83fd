"""Reads KNOWN-RED.txt: tests that fail for real faults not yet mended."""

import pathlib

PATH = pathlib.Path(__file__).parent.parent / 'KNOWN-RED.txt'
PREFIX = 'test: '


def names() -> set[str]:
    """Return the names of the tests listed; empty without the file."""
    if not PATH.exists():
        return set()
    lines = PATH.read_text().splitlines()
    return {
        line.removeprefix(PREFIX).strip()
        for line in lines
        if line.startswith(PREFIX)
    }
