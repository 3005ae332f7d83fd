"""Names of the platform's wire occur only in platform/ and stand-ins."""

import pathlib
import re

ROOT = pathlib.Path(__file__).parents[2]
#: Omits X-Deadline-Ms, which godwitglade's own interface also uses.
NAMES = re.compile(
    r'X-(Attempt-Id|Expect-Instance|Prefix-Hash|Chunk|Inputs|Tenant'
    r'|Server-Signature|Not-Executed|Instance|Token-Usage)'
    r'|rows-(tx|get|feed|parts)|blob-(put|get)'
    r'|stage-(run|free)|kv-(events|list)'
    r'|schemaVersion|retryBudgetRatio|routeKind|coldRemainingMs'
)


def test_no_package_contains_names_of_the_platform_wire():
    occurrences = [
        f'{path.relative_to(ROOT)}: {match[0]}'
        for path in ROOT.glob('packages/*/src/**/*.py')
        if (match := NAMES.search(path.read_text('utf-8')))
    ]
    assert occurrences == []


def test_adapter_has_at_most_1500_lines():
    sources = (ROOT / 'platform').rglob('*.py')
    lines = sum(len(path.read_text().splitlines()) for path in sources)
    assert lines <= 1_500
