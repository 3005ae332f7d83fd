"""Progress of one request through the stages before its target."""

import itertools
import typing

import attrs

from godwitglade.routing import documents


@attrs.define(eq=False)
class Progress:
    """Which stages are done, under way or still to come.

    ``counts`` has the number of items of each stage; a stage without items
    is left out. Raises ValueError when there are more counts than stages.
    """

    stages: tuple[documents.Stage, ...]
    counts: tuple[int, ...]
    started: set[int] = attrs.Factory(set)
    handles: dict[int, tuple[str, ...]] = attrs.Factory(dict)
    zones: dict[int, str] = attrs.Factory(dict)

    def __attrs_post_init__(self) -> None:
        if len(self.counts) > len(self.stages):
            raise ValueError(
                f'{len(self.counts)} counts for {len(self.stages)} stages'
            )
        missing = len(self.stages) - len(self.counts)
        self.counts += (0,) * missing

    @property
    def is_complete(self) -> bool:
        """Tell whether every stage with items is done."""
        return all(n in self.handles for n in self._with_items())

    def startable(self) -> list[int]:
        """Return the stages whose predecessors are done."""
        return [
            number
            for number in self._with_items()
            if number not in self.started
            and all(self._is_done(n) for n in self.stages[number].after)
        ]

    def inputs_of(self, number: int) -> tuple[str, ...]:
        """Return the results that a stage takes in."""
        after = self.stages[number].after
        found = (self.handles.get(n, ()) for n in after)
        return tuple(itertools.chain.from_iterable(found))

    def results(self) -> tuple[str, ...]:
        """Return the results of the stages that no other stage follows."""
        found = (self.handles[number] for number in self._last())
        return tuple(itertools.chain.from_iterable(found))

    def zone_of_results(self) -> str:
        """Return the data centre that holds most of the results' bytes."""
        return self._zone_of(self._last())

    def result_bytes(self) -> int:
        """Return the size of the results of the last stages."""
        return sum(self._size(number) for number in self._last())

    def zone_of_inputs(self, number: int) -> str:
        """Return the data centre that holds most of a stage's inputs."""
        return self._zone_of(self.stages[number].after)

    def input_bytes(self, number: int) -> int:
        """Return the size of what each item of a stage takes in."""
        return sum(self._size(n) for n in self.stages[number].after)

    def later(self, number: int) -> list[int]:
        """Return the stages with items that wait for a stage to end."""
        found = {number}
        for other in range(number + 1, len(self.stages)):
            if found & set(self.stages[other].after):
                found.add(other)
        return [n for n in sorted(found - {number}) if self.counts[n]]

    def restart(self) -> None:
        """Forget everything done: results are gone."""
        self.started.clear()
        self.handles.clear()
        self.zones.clear()

    def _last(self) -> list[int]:
        followed = {n for stage in self.stages for n in stage.after}
        return [n for n in sorted(self.handles) if n not in followed]

    def _size(self, number: int) -> int:
        return self.counts[number] * self.stages[number].result_bytes

    def _zone_of(self, numbers: typing.Iterable[int]) -> str:
        sizes: dict[str, int] = {}
        for number in numbers:
            zone = self.zones.get(number, '')
            sizes[zone] = sizes.get(zone, 0) + self._size(number)
        return max(sizes, key=lambda zone: sizes[zone], default='')

    def _with_items(self) -> list[int]:
        return [n for n, count in enumerate(self.counts) if count]

    def _is_done(self, number: int) -> bool:
        return not self.counts[number] or number in self.handles
