"""Many hosts free of I/O, with engines that are cold for a while.

Run as ``python -m tests.routing.cold_fleet --hosts 775 --seeds 5`` for sizes
that take too long for the tests.
"""

import bisect
import collections
import itertools
import typing

import attrs
import typer

from godwitglade.coordination import effects as shared_effects
from godwitglade.coordination import messages as shared_messages
from godwitglade.routing import bodies
from godwitglade.routing import cold_targets
from godwitglade.routing import documents
from godwitglade.routing import host as routing_host
from godwitglade.routing import messages
from godwitglade.routing import targets
from tests.routing import builders
from tests.routing import fleet

ZONES = ('z0', 'z1', 'z2')
BOUNDS = cold_targets.Bounds(1.5, 5)
COLD_MILLI_PER_S = 9_100
#: floor(9.1 * 1.5 + 5)
ALLOWED = 18
HEARTBEAT_MS = 1_200
READ_DELAY_MS = (20, 2_000)
#: Requests a second for each engine: ordinary traffic in force.
PER_ENGINE_S = 2.5
#: With a flood, ten times as many once all hosts can know who is cold.
FLOOD = 10
FLOOD_MS = (4_000, 9_000)
COLD_MS = 30_000
COLD_FOR_MS = 9_000
AFTER_MS = 14_000
MAX_RETURNS = 2
STILL_FOR_MS = 5_000


@attrs.define(eq=False)
class Engine(fleet.Engine):
    """An engine that counts what arrives, also while it is cold.

    ``periods_ms`` are the times for which it was cold.
    """

    zone: str = 'z0'
    sequence: int = 0
    warmup_ms: int = 0
    periods_ms: list = attrs.field(factory=list)
    seen_ms: list = attrs.field(factory=list)

    @property
    def listed(self):
        """Return the entry of the list of targets, as last written."""
        return builders.listed(
            self.name,
            'engine',
            self.zone,
            slots=48,
            version=self.version,
            started_ms=self.started_ms,
            sequence=self.sequence,
            warmup_ms=self.warmup_ms,
        )

    def left_ms(self, now_ms):
        """Return for how long it is still cold."""
        ends_ms = (to_ms for from_ms, to_ms in self.periods_ms)
        return max(0, max(ends_ms, default=0) - now_ms)

    def worst(self):
        """Return the most arrivals of any second while it was cold."""
        return max(
            (
                bisect.bisect_left(self.seen_ms, min(at_ms + 1_000, to_ms))
                - index
                for from_ms, to_ms in self.periods_ms
                for index, at_ms in enumerate(self.seen_ms)
                if from_ms <= at_ms < to_ms
            ),
            default=0,
        )


class Fleet(fleet.Fleet):
    """Hosts in three data centres, with their engines and callers.

    Hosts reach only those with the same number in ``sides``. Those in
    ``still`` do not run, and those in ``without_store`` read no entries.
    """

    settings = routing_host.Settings(
        cold=BOUNDS, regions=dict.fromkeys(ZONES, 'r')
    )
    document = builders.document(
        fleet.ROUTE,
        fleet.WITHOUT_PROMPT,
        pools=(documents.Pool('engine', cold_milli_per_s=COLD_MILLI_PER_S),),
    )

    def __init__(
        self,
        seed,
        host_count=9,
        engine_count=6,
        subjects=60,
        has_flood=False,
        cold_ms=COLD_MS,
    ):
        self.cold_ms = cold_ms
        self.has_flood = has_flood
        self.sides = collections.Counter()
        self.still = {}
        self.without_store = set()
        self.subjects = subjects
        self.asked = collections.Counter()
        self.numbers = itertools.count()
        super().__init__(seed, host_count, engine_count)
        self.on_refused = self.refused
        self.at(1, self.heartbeat)

    def start_engine(self, version='v1'):
        """Start an engine in the next data centre."""
        number = len(self.engines)
        zone = ZONES[number % len(ZONES)]
        self.engines.append(
            Engine(f'e{number}', version, self.now_ms + 1, zone=zone)
        )

    def turn_cold(self, zones, for_ms=COLD_FOR_MS):
        """Let all engines of data centres turn cold at once."""
        for engine in self.engines:
            if engine.zone in zones:
                until_ms = self.now_ms + for_ms
                engine.periods_ms.append((self.now_ms, until_ms))

    def heartbeat(self):
        """Write the entries of engines that are cold, or were."""
        written = []
        for engine in self.engines:
            left_ms = engine.left_ms(self.now_ms)
            if left_ms or engine.warmup_ms:
                engine.sequence += 1
                engine.warmup_ms = left_ms
                written.append(engine.listed)
        message = messages.TargetsChanged(
            tuple(written), (), 1, read_from_ms=self.now_ms
        )
        for node in self.nodes.values():
            if node.name not in self.without_store:
                self._later(self._post, node, message, span_ms=READ_DELAY_MS)
        self.at(self.now_ms + HEARTBEAT_MS, self.heartbeat)

    def _arrive(self, node, incarnation, effect, engine):
        if engine.is_alive:
            engine.seen_ms.append(self.now_ms)
        left_ms = engine.left_ms(self.now_ms)
        engine.notice = targets.Notice(cold_ms=left_ms)
        super()._arrive(node, incarnation, effect, engine)

    # Hosts

    def _post(self, node, message):
        if node.name in self.still:
            self.still[node.name].append((node.incarnation, message))
        else:
            super()._post(node, message)

    def stand_still(self, names):
        """Stop hosts, which do not notice."""
        self.still.update((name, []) for name in names)

    def wake(self, names):
        """Let hosts go on with what has arrived."""
        for name in names:
            for incarnation, message in self.still.pop(name):
                self._post_to(self.nodes[name], incarnation, message)

    def cut(self, names, side=1):
        """Cut hosts off from the others and the store."""
        self.sides.update(dict.fromkeys(names, side))
        self.without_store.update(names)

    def _send_peer(self, node, effect):
        receiver = next(
            n for n in self.nodes.values() if n.address == effect.address
        )
        is_asked = isinstance(effect.body, bodies.PermitRequest)
        if is_asked:
            self.asked[receiver.name, self.now_ms // 1_000] += 1
        is_cut = self.sides[receiver.name] != self.sides[node.name]
        self.cut_names = {receiver.name} if is_cut else ()
        super()._send_peer(node, effect)
        self.cut_names = ()
        if receiver.name in self.still or receiver.host is None:
            lost = shared_messages.PeerReply(effect.token, None)
            due_ms = self.now_ms + effect.timeout_ms
            self.at(due_ms, self._post_to, node, node.incarnation, lost)

    def _reply_peer(self, node, effect):
        if effect.reply_token in self._reply_tokens:
            super()._reply_peer(node, effect)

    def _choose_node(self, running, fields):
        return self.rng.choice(
            [n for n in running if n.name not in self.still] or running
        )

    # Callers

    def load(self, path):
        """Send ordinary traffic."""
        subject = f'subject{self.rng.randrange(self.subjects)}'
        self.send(('system0', subject, f'own{next(self.numbers)}'), path)
        mean_ms = 1_000 / (PER_ENGINE_S * len(self.engines))
        if (
            self.has_flood
            and FLOOD_MS[0] <= self.now_ms - self.cold_ms < FLOOD_MS[1]
        ):
            mean_ms /= FLOOD
        due_ms = self.now_ms + max(1, round(self.rng.expovariate(1 / mean_ms)))
        if due_ms < self.cold_ms + AFTER_MS:
            self.at(due_ms, self.load, path)

    def refused(self, attempt):
        """Let a caller come back when it is told to."""
        chain = [attempt]
        while chain[-1].return_of is not None:
            chain.append(chain[-1].return_of)
        left_ms = fleet.ROUTE.timeout_ms - self.now_ms + chain[-1].sent_ms
        if len(chain) <= MAX_RETURNS and attempt.retry_after_ms < left_ms / 3:
            due_ms = self.now_ms + attempt.retry_after_ms
            self.at(due_ms, self._return, attempt)

    def _return(self, attempt):
        path = self._arrived[attempt.name].path
        self.send(attempt.parts, path, attempt)

    _HANDLERS = {
        **fleet.Fleet._HANDLERS,
        shared_effects.SendPeer: _send_peer,
        shared_effects.ReplyPeer: _reply_peer,
    }


def zone_of_hosts(fleet_, zone):
    """Return the hosts of a data centre."""
    number = int(zone[1:])
    return [n for n in fleet_.nodes if int(n[1:]) % 3 == number]


def cut_zone(fleet_):
    """Cut one data centre off, long enough that hosts notice."""
    fleet_.at(5_000, fleet_.cut, zone_of_hosts(fleet_, 'z0'))


def cut_all(fleet_):
    """Cut all data centres off from each other."""
    cut_zone(fleet_)
    fleet_.at(5_000, fleet_.cut, zone_of_hosts(fleet_, 'z1'), 2)


def cut_hosts(fleet_):
    """Cut single hosts off, a third of all."""
    for side, name in enumerate(list(fleet_.nodes)[: len(fleet_.nodes) // 3]):
        fleet_.at(5_000, fleet_.cut, [name], side + 1)


def stop_hosts(fleet_):
    """Let a third of the hosts stand still as engines turn cold."""
    names = zone_of_hosts(fleet_, 'z1')
    from_ms = fleet_.cold_ms - 500
    fleet_.at(from_ms, fleet_.stand_still, names)
    fleet_.at(from_ms + STILL_FOR_MS, fleet_.wake, names)


def restart_hosts(fleet_):
    """Restart a third of the hosts one after another."""
    for number, name in enumerate(zone_of_hosts(fleet_, 'z2')):
        at_ms = fleet_.cold_ms + 10 + number * 8_000 // len(fleet_.nodes)
        fleet_.at(at_ms, fleet_.restart, [name])


def turn_cold_again(fleet_):
    """Let engines turn cold again while they are, and when they are not."""
    for after_ms in (-8_000, 5_000):
        at_ms = fleet_.cold_ms + after_ms
        fleet_.at(at_ms, fleet_.turn_cold, ZONES, 3_000)


FAULTS = {
    'none': lambda fleet_: None,
    'zone cut': cut_zone,
    'zones cut': cut_all,
    'hosts cut': cut_hosts,
    'hosts still': stop_hosts,
    'hosts restart': restart_hosts,
    'cold again': turn_cold_again,
}


def play(seed, host_count=9, fault='none', zones=ZONES, path='/a/x', **fields):
    """Play the load; engines of ``zones`` turn cold."""
    engine_count = fields.pop('engine_count', 3 * max(2, host_count // 15))
    fleet_ = Fleet(seed, host_count, engine_count, **fields)
    fleet_.at(fleet_.cold_ms - 12_000, fleet_.load, path)
    fleet_.at(fleet_.cold_ms, fleet_.turn_cold, zones)
    FAULTS[fault](fleet_)
    fleet_.run(fleet_.cold_ms + AFTER_MS + 2_000)
    return fleet_


def served(fleet_):
    """Return the share of callers that were served, also on their return."""
    asked = [
        attempt
        for attempt in fleet_.attempts
        if 0 <= attempt.sent_ms - fleet_.cold_ms < COLD_FOR_MS
    ]
    returned = {id(a.return_of) for a in fleet_.attempts}
    last = [a for a in asked if id(a) not in returned]
    return sum(a.begun_ms is not None for a in last) / max(1, len(last))


def worst(fleet_):
    """Return the most that any engine got in a second while it was cold."""
    return max(engine.worst() for engine in fleet_.engines)


def permits_asked(fleet_):
    """Return the messages a host and second, and the most at one host."""
    from_s = fleet_.cold_ms // 1_000
    seconds = range(from_s, from_s + COLD_FOR_MS // 1_000)
    counts = {k: n for k, n in fleet_.asked.items() if k[1] in seconds}
    mean = sum(counts.values()) / len(seconds) / len(fleet_.nodes)
    return mean, max(counts.values(), default=0)


def main(
    hosts: int = 9,
    seeds: int = 50,
    first: int = 1,
    fault: str = '',
    zones: typing.Annotated[str, typer.Option()] = ','.join(ZONES),
    flood: bool = False,
    subjects: int = 60,
    cold_s: int = COLD_MS // 1_000,
) -> None:
    """Print the worst second and the messages for each fault."""
    for name in [fault] if fault else FAULTS:
        plays = [
            play(
                seed,
                hosts,
                name,
                zones.split(','),
                has_flood=flood,
                subjects=subjects,
                cold_ms=1_000 * cold_s,
            )
            for seed in range(first, first + seeds)
        ]
        asked = [permits_asked(fleet_) for fleet_ in plays]
        print(
            f'{hosts} hosts, {name}, seeds {first} to {first + seeds - 1}:'
            f' most in a second {max(map(worst, plays))} of {ALLOWED},'
            f' over in {sum(worst(f) > ALLOWED for f in plays)} plays,'
            f' served {min(map(served, plays)):.2f},'
            f' asked {max(mean for mean, _ in asked):.2f} a host and second,'
            f' most at one host {max(most for _, most in asked)}',
            flush=True,
        )


if __name__ == '__main__':
    typer.run(main)
