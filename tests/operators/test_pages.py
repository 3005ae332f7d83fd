"""Pages that are generated from the code stay in step with it."""

import itertools

from bench import pages
from bench import references
from godwitglade.common import errors
from godwitglade.common import events


def test_pages_are_in_step():
    stale = [path.name for path in pages.find_stale()]
    assert stale == [], 'run python -m bench.pages'


def test_each_part_stands_in_a_page():
    assert pages.find_parts() == set(pages.PARTS)


def test_a_code_means_the_same_wherever_it_is_raised():
    references.errors_table()
    kinds = sorted(errors.all_error_types(), key=lambda kind: kind.code)
    for _, group in itertools.groupby(kinds, key=lambda kind: kind.code):
        traits = {(kind.http_status, kind.is_retryable) for kind in group}
        assert len(traits) == 1


def test_event_numbers_are_unique():
    numbers = [events.number_of(event) for event in events.Event]
    assert len(numbers) == len(set(numbers))
