"""Stand-in for the transactional table service, kept in memory.

Run as ``python -m bench.standins.table --port N``.
"""

import threading
import typing

import sortedcontainers

from bench.standins import server

RowName = tuple[str, str]


class Table(server.StandIn):
    """Rows whose versions grow with each write, even after a deletion."""

    def __init__(self, port: int = 0, ends_process: bool = False) -> None:
        super().__init__(port, ends_process)
        self._rows: sortedcontainers.SortedDict = sortedcontainers.SortedDict()
        self._last_versions: dict[RowName, int] = {}
        self._rows_lock = threading.Lock()
        self._counts = {'transactions': 0, 'reads': 0, 'scans': 0}

    def handle(self, request: server.Request) -> server.Reply:
        """Serve transactions, reads, scans, and the count of each."""
        with self._rows_lock:
            match request.method, request.path:
                case 'POST', '/v1/transactions':
                    return self._transact(request.plain)
                case 'POST', '/v1/reads':
                    return self._read(request.plain)
                case 'GET', '/v1/rows':
                    return self._scan(request.query)
                case 'GET', '/v1/counts':
                    return server.Reply(self._counts)
        return server.Reply({}, 404)

    def _transact(self, plain: dict[str, typing.Any]) -> server.Reply:
        self._counts['transactions'] += 1
        failed = [
            _row_name(condition)
            for condition in plain['conditions']
            if self._version(_row_name(condition)) != condition['version']
        ]
        if failed:
            return server.Reply({'rows': self._existing_rows(failed)}, 409)
        versions = [self._write(write) for write in plain['writes']]
        return server.Reply({'versions': versions})

    def _read(self, plain: dict[str, typing.Any]) -> server.Reply:
        self._counts['reads'] += 1
        names = [_row_name(key) for key in plain['keys']]
        return server.Reply({'rows': self._existing_rows(names)})

    def _scan(self, query: dict[str, str]) -> server.Reply:
        self._counts['scans'] += 1
        table = query['table']
        start = self._rows.bisect_right((table, query.get('after', '')))
        names = self._rows.keys()[start : start + int(query['limit'])]
        in_table = [name for name in names if name[0] == table]
        return server.Reply({'rows': self._existing_rows(in_table)})

    def _write(self, write: dict[str, typing.Any]) -> int:
        name = _row_name(write)
        if write['value'] is None:
            self._rows.pop(name, None)
            return 0
        version = self._last_versions.get(name, 0) + 1
        self._last_versions[name] = version
        self._rows[name] = (version, write['value'])
        return version

    def _version(self, name: RowName) -> int:
        return self._rows.get(name, (0, None))[0]

    def _existing_rows(
        self, names: list[RowName]
    ) -> list[dict[str, typing.Any]]:
        return [
            {
                'table': name[0],
                'key': name[1],
                'version': self._rows[name][0],
                'value': self._rows[name][1],
            }
            for name in names
            if name in self._rows
        ]


def _row_name(plain: dict[str, typing.Any]) -> RowName:
    return plain['table'], plain['key']


if __name__ == '__main__':
    arguments = server.make_parser(__doc__).parse_args()
    server.serve_process(Table(arguments.port, ends_process=True))
