"""Identity of a host and of an incarnation of its process."""

import attrs


@attrs.frozen
class HostId:
    """One incarnation of the process of a host.

    ``incarnation`` increases with each start, so that a restarted host is
    never mistaken for its earlier process. ``zone`` names its data centre.
    """

    name: str
    zone: str
    incarnation: int

    def __str__(self) -> str:
        return f'{self.name}#{self.incarnation}'
