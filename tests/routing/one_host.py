"""A host free of I/O with targets in three zones."""

import itertools
import random

from godwitglade.coordination import hosts
from godwitglade.routing import documents
from godwitglade.routing import effects
from godwitglade.routing import host as routing_host
from godwitglade.routing import messages
from tests.routing import builders

Kind = documents.RequestKind
SETTINGS = routing_host.Settings(evacuate_ms=5_000)
ROUTES = (
    builders.route(Kind.IDEMPOTENT, max_targets=3),
    builders.route(
        name='staged', prefix='/s/', stages=(documents.Stage('encode'),)
    ),
    builders.route(Kind.STREAM, prefix='/b/', is_resumable=True),
)
LISTED = (
    builders.listed('t1', 'app', 'z1', version='v1'),
    builders.listed('t2', 'app', 'z2', version='v2'),
    builders.listed('e1', 'encode', 'z1'),
    builders.listed('e3', 'encode', 'z3'),
)


class OneHost:
    """A host; ``done`` has the effects of the last message."""

    def __init__(
        self, settings=SETTINGS, routes=ROUTES, listed=LISTED, **fields
    ):
        self.components = routing_host.make_components(
            hosts.HostId('h1', 'z1', 1), 'h1:1', random.Random(1), settings
        )
        self.host = routing_host.Host(self.components)
        self.versions, self.done = itertools.count(10), []
        pool = documents.Pool('encode', batching=builders.batching())
        document = builders.document(*routes, pools=(pool,), **fields)
        self.handle(messages.DocumentRead(document, 0))
        self.handle(messages.TargetsRead(listed, 1))

    def handle(self, message, now_ms=10):
        self.done = self.host.handle(message, now_ms)
        return self.done

    def evacuate(self, *zones, now_ms=10):
        version = next(self.versions)
        zones = frozenset(zones)
        read = messages.EvacuationsRead(zones, version, 0, now_ms)
        return self.handle(read, now_ms)

    def arrive(self, path='/a/x', now_ms=10, **fields):
        fields = {'path': path, 'read_ms': now_ms} | fields
        return self.handle(builders.arrived(**fields), now_ms)

    def found(self, kind):
        return [effect for effect in self.done if isinstance(effect, kind)]

    @property
    def sent_to(self):
        calls = self.found(effects.Forward) + self.found(effects.RunBatch)
        return [call.target.name for call in calls]

    @property
    def is_refused(self):
        return [
            (answer.status, answer.retry_after_ms is not None)
            for answer in self.found(effects.Answer)
        ] == [(503, True)]
