"""Names of the platform's wire stay in platform/ and the stand-ins."""

import pathlib
import re

ROOT = pathlib.Path(__file__).parents[2]
#: X-Deadline-Ms is left out: the product's own interface has that name.
NAMES = re.compile(
    r'X-(Attempt-Id|Expect-Instance|Prefix-Hash|Chunk|Inputs|Tenant'
    r'|Server-Signature|Not-Executed|Instance|Token-Usage)'
    r'|rows-(tx|get|feed|parts)|blob-(put|get)'
    r'|stage-(run|free)|kv-(events|list)'
    r'|schemaVersion|retryBudgetRatio|routeKind|coldRemainingMs'
)


def test_no_package_knows_the_wire():
    found = [
        f'{path.relative_to(ROOT)}: {match[0]}'
        for path in ROOT.glob('packages/*/src/**/*.py')
        if (match := NAMES.search(path.read_text('utf-8')))
    ]
    assert found == []


def test_adapter_stays_small():
    sources = (ROOT / 'platform').rglob('*.py')
    lines = sum(len(path.read_text().splitlines()) for path in sources)
    assert lines <= 1_500
