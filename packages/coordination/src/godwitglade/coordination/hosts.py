"""Identity of a host and of one life of its process."""

import attrs


@attrs.frozen
class HostId:
    """One life of a host's process.

    ``incarnation`` grows with each start, so that a restarted host is never
    taken for its earlier process. ``zone`` names its data centre.
    """

    name: str
    zone: str
    incarnation: int

    def __str__(self) -> str:
        return f'{self.name}#{self.incarnation}'
