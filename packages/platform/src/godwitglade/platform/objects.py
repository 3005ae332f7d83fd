"""Client of the platform's object store."""

import urllib.parse

from godwitglade.coordination import effects
from godwitglade.coordination import messages
from godwitglade.platform import service

OBJECT_TIMEOUT_MS = 3_000


class ObjectClient:
    """Reads and writes whole objects with blocking calls."""

    def __init__(self, object_service: service.Service) -> None:
        self._service = object_service

    def read(self, effect: effects.ReadObject) -> messages.ObjectRead:
        """Read an object; its content is None if absent or unreachable."""
        exchange = self._service.exchange(
            'GET', _path_of(effect.name), OBJECT_TIMEOUT_MS
        )
        is_found = (
            isinstance(exchange, service.Answer) and exchange.status == 200
        )
        content = exchange.content if is_found else None
        return messages.ObjectRead(effect.token, content)

    def write(self, effect: effects.WriteObject) -> bool:
        """Write an object; return whether it is known to be stored."""
        exchange = self._service.exchange(
            'PUT', _path_of(effect.name), OBJECT_TIMEOUT_MS, effect.content
        )
        return (
            isinstance(exchange, service.Answer)
            and 200 <= exchange.status < 300
        )


def _path_of(name: str) -> str:
    return '/v1/objects/' + urllib.parse.quote(name, safe='')
