"""Stand-in for the platform's host list, set by ``PUT /v1/hosts``.

Run as ``python -m bench.standins.host_list --port N``.
"""

import typing

import attrs
import xxhash

from bench.standins import server


class Hosts(server.StandIn):
    """Serves the list that was last set."""

    def __init__(self, port: int = 0, ends_process: bool = False) -> None:
        super().__init__(port, ends_process)
        self.entries: list[dict[str, typing.Any]] = []

    def handle(self, request: server.Request) -> server.Reply:
        """Serve GET and PUT of the list."""
        if request.path != '/v1/hosts':
            return server.Reply({}, 404)
        if request.method == 'PUT':
            self.entries = request.plain['hosts']
        matching = [
            entry
            for entry in self.entries
            if all(entry.get(k) == v for k, v in request.query.items())
        ]
        reply = server.Reply({'hosts': matching})
        etag = f'"{xxhash.xxh3_64_hexdigest(reply.encode())}"'
        is_same = etag == request.etag
        return attrs.evolve(reply, etag=etag, status=304 if is_same else 200)


if __name__ == '__main__':
    arguments = server.make_parser(__doc__).parse_args()
    server.serve_process(Hosts(arguments.port, ends_process=True))
