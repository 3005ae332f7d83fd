"""Updates the generated sections of the documentation from the code.

``python -m bench.pages`` rewrites the text between the markers
``<!-- begin NAME -->`` and ``<!-- end NAME -->`` in docs/;
``python -m bench.pages --check`` only prints the outdated pages.
"""

import pathlib
import re
import sys
import typing

from bench import references

DOCS = pathlib.Path(__file__).parents[1] / 'docs'
SECTIONS: dict[str, typing.Callable[[], str]] = {
    'errors': references.errors_table,
    'outcomes': references.outcomes_table,
    'refusals': references.refusals_table,
    'failures': references.failures_list,
    'events': references.events_table,
    'exit-statuses': references.exit_statuses_table,
    'document': references.document_reference,
    'settings': references.settings_reference,
}
_SECTION = re.compile(
    r'(<!-- begin ([a-z-]+) -->\n).*?(<!-- end \2 -->)', re.DOTALL
)


def find_stale() -> dict[pathlib.Path, str]:
    """Return the outdated pages, each with its up-to-date text."""
    pages = {path: path.read_text('utf-8') for path in DOCS.glob('*.md')}
    refreshed = {path: refresh(text) for path, text in pages.items()}
    return {
        path: text for path, text in refreshed.items() if text != pages[path]
    }


def refresh(text: str) -> str:
    """Return ``text`` with every generated section rendered again."""
    return _SECTION.sub(_render, text)


def find_sections() -> set[str]:
    """Return the names of the generated sections in all pages."""
    texts = (path.read_text('utf-8') for path in DOCS.glob('*.md'))
    return {match[2] for text in texts for match in _SECTION.finditer(text)}


def _render(match: re.Match) -> str:
    return f'{match[1]}{SECTIONS[match[2]]()}\n{match[3]}'


def main(args: list[str]) -> int:
    """Rewrite or check the pages; return 1 if a check finds one outdated."""
    stale = find_stale()
    if '--check' not in args:
        for path, text in stale.items():
            path.write_text(text, 'utf-8')
    for path in stale:
        print(path.name)
    return 1 if stale and '--check' in args else 0


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
