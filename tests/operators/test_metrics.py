"""The metrics page lists exactly the metrics that the packages send."""

import pathlib
import re

ROOT = pathlib.Path(__file__).parents[2]
SENT = re.compile(r"(?:(?:Count|Timing)\(|name =)\s*f?'([a-z]+\.[^']+)'")
LISTED = re.compile(r'^\| `([a-z_.{}]+)` \| (?:counter|timing)', re.MULTILINE)


def normalize(name):
    """Return the name with placeholders replaced by asterisks."""
    return re.sub(r'\{[^}]+\}', '*', name)


def test_page_lists_the_metrics_that_are_sent():
    page = (ROOT / 'docs' / 'METRICS.md').read_text()
    listed = {normalize(name) for name in LISTED.findall(page)}
    sources = ROOT.glob('packages/*/src/**/*.py')
    sent = {
        normalize(name)
        for source in sources
        for name in SENT.findall(source.read_text())
    }
    assert sent == listed
