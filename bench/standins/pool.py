"""Stand-in for a target of a stage pool or a plain service.

Run as ``python -m bench.standins.pool --port N``. The output depends only
on stage and input, so that repeated runs give the same output.
"""

import time
import typing

from bench.standins import server
from bench.standins import work


class Pool(server.StandIn):
    """A target; each call takes ``work_ms``."""

    def __init__(
        self,
        port: int = 0,
        ends_process: bool = False,
        capacity: int = 32,
        work_ms: int = 2,
    ) -> None:
        super().__init__(port, ends_process)
        self._work_ms = work_ms
        self.work = work.Work(capacity)

    def handle(self, request: server.Request) -> server.Reply:
        """Serve stage calls, cancellations, the load and the runs so far."""
        common = self.work.serve_common(request)
        if common is not None:
            return common
        if request.path == '/v1/load':
            return server.Reply(self.work.load())
        if request.method != 'POST':
            return server.Reply({}, 404)
        return self._run(request.plain)

    def not_run(self, reason: str) -> server.Reply:
        """Return the reply of a busy or leaving target."""
        load = self.work.load(is_leaving=reason == 'leaving')
        plain = {'not_run': True, 'reason': reason, 'load': load}
        return server.Reply(plain, 503)

    def _run(self, plain: dict[str, typing.Any]) -> server.Reply:
        with self.work.slot(plain):
            time.sleep(self._work_ms / 1_000)
        return server.Reply(
            {
                'request_id': plain['request_id'],
                'stage': plain['stage'],
                'attempt_id': plain['attempt_id'],
                'output': _output(plain),
                'cost_ms': self._work_ms,
                'load': self.work.load(),
            }
        )


def _output(plain: dict[str, typing.Any]) -> dict[str, typing.Any]:
    stage_input = plain.get('input')
    return {
        'stage': plain['stage'],
        'identity': work.identity_of(stage_input),
        'digest': work.digest_of([plain['stage'], stage_input]),
    }


if __name__ == '__main__':
    parser = server.make_parser(__doc__)
    parser.add_argument('--capacity', type=int, default=32)
    parser.add_argument('--work-ms', type=int, default=2)
    arguments = parser.parse_args()
    server.serve_process(
        Pool(
            arguments.port,
            True,
            arguments.capacity,
            arguments.work_ms,
        )
    )
