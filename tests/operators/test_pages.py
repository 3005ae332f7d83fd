"""Documentation sections generated from the code are up to date."""

import itertools

from bench import pages
from bench import references
from godwitglade.common import errors
from godwitglade.common import events


def test_generated_pages_are_up_to_date():
    stale = [path.name for path in pages.find_stale()]
    assert stale == [], 'run python -m bench.pages'


def test_each_generated_section_is_in_a_page():
    assert pages.find_sections() == set(pages.SECTIONS)


def test_errors_with_the_same_code_have_the_same_traits():
    references.errors_table()
    kinds = sorted(errors.all_error_types(), key=lambda kind: kind.code)
    for _, group in itertools.groupby(kinds, key=lambda kind: kind.code):
        traits = {(kind.http_status, kind.is_retryable) for kind in group}
        assert len(traits) == 1


def test_event_numbers_are_unique():
    numbers = [events.number_of(event) for event in events.Event]
    assert len(numbers) == len(set(numbers))
