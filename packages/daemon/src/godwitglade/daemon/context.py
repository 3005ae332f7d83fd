"""Interfaces of the process to its surroundings, replaceable in tests."""

import os
import random
import sys
import typing

import attrs

from godwitglade.common import clock as clocks


@attrs.define
class Environment:
    """Output streams, environment variables, clock and random source.

    ``rng`` seeds every random source of the process.
    """

    stdout: typing.TextIO = sys.stdout
    stderr: typing.TextIO = sys.stderr
    variables: typing.Mapping[str, str] = attrs.Factory(
        lambda: dict(os.environ)
    )
    clock: clocks.Clock = attrs.Factory(clocks.Clock)
    rng: random.Random = attrs.Factory(random.SystemRandom)
