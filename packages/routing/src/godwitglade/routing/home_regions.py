"""Regions in which requests may be processed.

Routes and workspaces name the regions, the settings the region of each zone.
A zone without a known region is in no home region. See
docs/design/home-regions.md.
"""

import functools
import typing

from godwitglade.common import events
from godwitglade.coordination import effects as shared_effects
from godwitglade.routing import documents

#: Regions that are allowed, None for any.
Regions = frozenset[str] | None

#: Zones without a known region that are logged, by one process.
MAX_LOGGED = 64


def allowed(*named: typing.Collection[str]) -> Regions:
    """Return the regions in all lists that are not empty."""
    given = [frozenset(regions) for regions in named if regions]
    return functools.reduce(frozenset.intersection, given) if given else None


class HomeRegions:
    """The region of each zone, as the settings have it.

    It ``is_used`` if the document names regions at all.
    """

    def __init__(self, by_zone: typing.Mapping[str, str]) -> None:
        self.by_zone = by_zone
        self.is_used = False
        self._logged: set[str] = set()

    def is_home(self, zone: str, regions: Regions) -> bool:
        """Return whether a zone is in one of the allowed regions."""
        return regions is None or self.by_zone.get(zone) in regions

    def set_document(self, document: documents.Document) -> None:
        """Apply whether requests have home regions at all."""
        owners = (*document.routes, *(document.workspaces or ()))
        self.is_used = any(owner.regions for owner in owners)

    def check(
        self, zones: typing.Iterable[str]
    ) -> list[shared_effects.LogEvent]:
        """Log once each zone whose targets home regions leave out."""
        left = MAX_LOGGED - len(self._logged)
        unknown = sorted(set(zones) - self.by_zone.keys() - self._logged)
        self._logged.update(unknown[:left])
        event = events.Event.ZONE_WITHOUT_REGION
        return [
            shared_effects.LogEvent(event, {'zone': zone})
            for zone in unknown[:left]
        ]
