"""Measures the size and cost of describing a change of a 20 KB document.

``python -m bench.change_sizes`` prints, for edits of different sizes, the
bytes of the complete text, of the line patch and of a patch of the parsed
structure (without comments and layout), and the time to make and to apply
the line patch. Then it prints the time to parse and check the complete
document. The edits are seeded; times are medians of 50 runs.
"""

import random
import statistics
import time

import jsonpatch
import yaml

from godwitglade.common import codec
from godwitglade.coordination import change_rows
from godwitglade.coordination import patches
from godwitglade.operators import parsing

SEED = 7
RUNS = 50
WORKSPACES = 340
HEAD = """\
# Checks a licence against the records.
pipeline: licence-check
team: onboarding
deadline_ms: 5000
stages:
  - {name: scan, kind: encode, pool: encoders, budget_ms: 600}
workspaces:
"""


def make_text() -> str:
    """Return a document of about 20 KB."""
    lines = (
        f'  - {{name: desk-{number:04}, share: 4, max_in_flight: 40}}\n'
        for number in range(WORKSPACES)
    )
    return HEAD + ''.join(lines)


def edit(text: str, count: int, rng: random.Random) -> str:
    """Return ``text`` with the share of ``count`` workspaces changed."""
    lines = text.splitlines(keepends=True)
    first = HEAD.count('\n')
    for index in rng.sample(range(first, len(lines)), count):
        lines[index] = lines[index].replace('share: 4', 'share: 9')
    return ''.join(lines)


def row_bytes(**fields) -> int:
    """Return the size of a change row with ``fields`` as JSON."""
    row = change_rows.ChangeRow(
        123_456, 'licence-check', 77, 'x' * 36, **fields
    )
    return len(codec.to_json(row))


def median_us(function, *arguments) -> float:
    """Return the median time of a call in microseconds."""
    times = []
    for _ in range(RUNS):
        start_ns = time.perf_counter_ns()
        function(*arguments)
        times.append(time.perf_counter_ns() - start_ns)
    return statistics.median(times) / 1_000


def main() -> None:
    """Print one line for each number of edited lines."""
    rng = random.Random(SEED)
    old = make_text()
    print('lines  text B  patch B  json B  make us  apply us')
    for count in (1, 5, 20, 100, WORKSPACES):
        new = edit(old, count, rng)
        patch = patches.make(old, new)
        json_patch = jsonpatch.make_patch(
            yaml.safe_load(old), yaml.safe_load(new)
        )
        print(
            f'{count:5}  {row_bytes(text=new):6}'
            f'  {row_bytes(patch=patch):7}  {len(json_patch.to_string()):6}'
            f'  {median_us(patches.make, old, new):7.0f}'
            f'  {median_us(patches.apply, old, patch):8.0f}'
        )
    parse_us = median_us(parsing.parse_document, old)
    print(f'parse and check {len(old)} characters: {parse_us / 1_000:.1f} ms')


if __name__ == '__main__':
    main()
