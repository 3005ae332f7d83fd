"""The page of metrics names all that the packages send, and no more."""

import pathlib
import re

ROOT = pathlib.Path(__file__).parents[2]
SENT = re.compile(r"(?:(?:Count|Timing)\(|name =)\s*f?'([a-z]+\.[^']+)'")
NAMED = re.compile(r'^\| `([a-z_.{}]+)` \| (?:counter|timing)', re.MULTILINE)


def shape(name):
    """Return the name with every variable part alike."""
    return re.sub(r'\{[^}]+\}', '*', name)


def test_page_names_what_is_sent():
    page = (ROOT / 'docs' / 'METRICS.md').read_text()
    named = {shape(name) for name in NAMED.findall(page)}
    sources = ROOT.glob('packages/*/src/**/*.py')
    sent = {
        shape(name)
        for source in sources
        for name in SENT.findall(source.read_text())
    }
    assert sent == named
