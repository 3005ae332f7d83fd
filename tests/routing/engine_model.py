"""Engines with prompt caches in virtual time, and hosts that choose them."""

import collections
import heapq
import itertools
import random

from godwitglade.routing import documents
from godwitglade.routing import engine_choice
from godwitglade.routing import holder_orders
from godwitglade.routing import target_selection
from godwitglade.routing import targets
from tests.routing import builders

ENGINE = documents.Engine(slots=8, memory_tokens=80_000)
TOKENS_PER_MS, RUNNING_MS, DURATION_MS = 60, 3, 45_000
#: Requests of ``hosts``; ``hot_share`` of them share the same part.
Workload = collections.namedtuple(
    'Workload',
    'per_s hot_share hosts engines parts slow_engines',
    defaults=(40.0, 0.0, 60, 12, 40, 0),
)


class Engine:
    """Reads one prompt at a time; a request holds a slot until it ends."""

    def __init__(self, pace):
        self.pace, self.reader_free_ms, self.ends_ms = pace, 0.0, []
        self.cache = collections.OrderedDict()

    def first_event(self, at_ms, parts):
        """Return when a request's first event comes, and tokens to read."""
        held = itertools.takewhile(lambda p: p[0] in self.cache, parts)
        read = sum(n for _, n in parts) - sum(n for _, n in held)
        self.ends_ms = sorted(e for e in self.ends_ms if e > at_ms)
        count = len(self.ends_ms)
        waits = self.ends_ms[: max(0, count - ENGINE.slots + 1)]
        took_ms = read / TOKENS_PER_MS + RUNNING_MS * min(count, 8)
        start_ms = max(at_ms, self.reader_free_ms, *waits[-1:])
        return start_ms + self.pace * took_ms, read

    def take(self, at_ms, parts, call_ms):
        self.reader_free_ms, read = self.first_event(at_ms, parts)
        self.ends_ms.append(self.reader_free_ms + self.pace * call_ms)
        for key, tokens in reversed(parts):
            self.cache[key] = tokens
            self.cache.move_to_end(key)
        while sum(self.cache.values()) > ENGINE.memory_tokens:
            self.cache.popitem(last=False)
        return self.reader_free_ms, read


class Host:
    """What one host knows of the engines; it chooses by ``rule``."""

    def __init__(self, rule, hosts, engines):
        self.rule, self.engines = rule, engines
        self.directory = targets.Directory()
        listed = [builders.listed(n, 'p', slots=ENGINE.slots) for n in engines]
        self.directory.replace(listed, 1, 0)
        self.orders = holder_orders.HolderOrders(self.directory)
        self.pool = engine_choice.Pool('p', ENGINE, len(engines))
        self.chooser = engine_choice.EngineChooser(10_000, lambda: hosts)

    def choose(self, name, parts, at_ms):
        find, part = self.directory.find, str(parts[0][0])
        if self.rule == 'oracle':
            e = self.engines
            return find(min(e, key=lambda n: e[n].first_event(at_ms, parts)))
        if self.rule == 'today':
            args = target_selection.Preferences('', part), '', random, at_ms
            return target_selection.choose(self.directory.pool('p'), *args)
        prompt = engine_choice.Prompt(parts, sum(n for _, n in parts), name)
        order = [*map(find, self.orders.first('p', '', part))]
        choice = self.chooser.choose(prompt, self.pool, order, True, at_ms)
        self.chooser.start(name, prompt, self.pool, choice, at_ms)
        return choice.target

    def handle(self, is_end, target, name, at_ms):
        if is_end:
            target.in_flight -= 1
            return self.chooser.end(name, at_ms)
        engine = self.engines[target.name]
        count = sum(end > at_ms for end in engine.ends_ms)
        queued, pace = max(0, count - ENGINE.slots), int(100 * engine.pace)
        load = targets.Load(count - queued, queued, ENGINE.slots, pace)
        target_selection.record_load(target, load, at_ms)
        self.chooser.record_start(name, load, at_ms)


def play(rule, workload, seed):
    """Return the 95th percentile to the first event, % of parts read."""
    rng, times_ms, readings, at_ms, events = random.Random(seed), [], 0, 0, []
    paces = [4.0] * workload.slow_engines + [1.0] * workload.engines
    engines = {f't{n}': Engine(paces[n]) for n in range(workload.engines)}
    hosts = [
        Host(rule, workload.hosts, engines) for _ in range(workload.hosts)
    ]
    for number in itertools.count(workload.parts):
        at_ms += rng.expovariate(workload.per_s / 1_000)
        if at_ms > DURATION_MS:
            count = len(times_ms)
            return sorted(times_ms)[count * 95 // 100], 100 * readings / count
        while events and events[0][0] <= at_ms:
            then_ms, name, is_end, host, target = heapq.heappop(events)
            host.handle(is_end, target, str(name), int(then_ms))
        host, is_hot = rng.choice(hosts), rng.random() < workload.hot_share
        part = 0 if is_hot else rng.randrange(workload.parts)
        parts = ((part, 6_300), (number, rng.randrange(100, 1_000)))
        target = host.choose(str(number), parts, int(at_ms))
        target.in_flight += 1
        engine, call_ms = engines[target.name], rng.expovariate(1 / 1_500)
        first_ms, tokens = engine.take(at_ms, parts, call_ms)
        if at_ms > DURATION_MS / 3:
            times_ms.append(first_ms - at_ms)
            readings += tokens >= 6_300
        for is_end, then_ms in enumerate((first_ms, engine.ends_ms[-1])):
            heapq.heappush(events, (then_ms, number, is_end, host, target))
