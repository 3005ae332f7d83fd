"""Progress of a request through the stages that precede its target."""

import itertools
import typing

import attrs

from godwitglade.routing import documents


@attrs.define(eq=False)
class Progress:
    """State of the stages of a request.

    ``counts`` has the number of items of each stage; a stage without items
    is skipped. Raises ValueError when there are more counts than stages.
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
        """Return whether every stage with items is done."""
        return all(n in self.handles for n in self._stages_with_items())

    def ready_stages(self) -> list[int]:
        """Return the stages not yet started whose predecessors are done."""
        return [
            number
            for number in self._stages_with_items()
            if number not in self.started
            and all(self._is_done(n) for n in self.stages[number].after)
        ]

    def inputs_of(self, number: int) -> tuple[str, ...]:
        """Return the handles of the results that are a stage's inputs."""
        after = self.stages[number].after
        handles = (self.handles.get(n, ()) for n in after)
        return tuple(itertools.chain.from_iterable(handles))

    def results(self) -> tuple[str, ...]:
        """Return the results of the stages that no other stage follows."""
        handles = (self.handles[number] for number in self._final_stages())
        return tuple(itertools.chain.from_iterable(handles))

    def zone_of_results(self) -> str:
        """Return the data centre that holds most of the results' bytes."""
        return self._zone_of(self._final_stages())

    def result_bytes(self) -> int:
        """Return the size of the results of the last stages."""
        return sum(self._size(number) for number in self._final_stages())

    def zone_of_inputs(self, number: int) -> str:
        """Return the data centre that holds most of a stage's inputs."""
        return self._zone_of(self.stages[number].after)

    def input_bytes(self, number: int) -> int:
        """Return the size of the inputs of each item of a stage."""
        return sum(self._size(n) for n in self.stages[number].after)

    def later_stages(self, number: int) -> list[int]:
        """Return the stages with items that depend on a stage."""
        dependent = {number}
        for other in range(number + 1, len(self.stages)):
            if dependent & set(self.stages[other].after):
                dependent.add(other)
        return [n for n in sorted(dependent - {number}) if self.counts[n]]

    def restart(self) -> None:
        """Reset all stages, because results are gone."""
        self.started.clear()
        self.handles.clear()
        self.zones.clear()

    def _final_stages(self) -> list[int]:
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

    def _stages_with_items(self) -> list[int]:
        return [n for n, count in enumerate(self.counts) if count]

    def _is_done(self, number: int) -> bool:
        return not self.counts[number] or number in self.handles
