"""Stand-in for the object store, kept in memory.

Run as ``python -m bench.standins.objects --port N``.
"""

from bench.standins import server

PREFIX = '/v1/objects/'


class Objects(server.StandIn):
    """Stores objects by name."""

    def __init__(self, port: int = 0, ends_process: bool = False) -> None:
        super().__init__(port, ends_process)
        self._objects: dict[str, bytes] = {}

    def handle(self, request: server.Request) -> server.Reply:
        """Serve GET and PUT of an object."""
        name = request.path.removeprefix(PREFIX)
        if request.method == 'PUT':
            self._objects[name] = request.content
            return server.Reply()
        if name not in self._objects:
            return server.Reply({}, 404)
        return server.Reply(content=self._objects[name])


if __name__ == '__main__':
    arguments = server.make_parser(__doc__).parse_args()
    server.serve_process(Objects(arguments.port, ends_process=True))
