"""Engines with prompt caches in virtual time, and hosts that choose them."""

import collections
import heapq
import itertools
import random

import attrs

from godwitglade.routing import documents
from godwitglade.routing import engine_choice
from godwitglade.routing import held_prompts
from godwitglade.routing import holder_orders
from godwitglade.routing import messages
from godwitglade.routing import target_selection
from godwitglade.routing import targets
from tests.routing import builders

TOKENS_PER_MS = 60
RUNNING_MS = 3


@attrs.frozen
class Workload:
    """Prompts of ``per_s`` requests a second, a share of one shared part."""

    per_s: float
    hot_share: float
    hosts: int = 6
    engines: int = 12
    parts: int = 40
    shared_tokens: int = 6_300
    mean_call_ms: int = 1_500
    slow_engines: int = 0
    duration_ms: int = 45_000
    engine: documents.Engine = documents.Engine(8, 80_000)


@attrs.define(eq=False)
class Engine:
    """Reads one prompt at a time; a request holds a slot until it ends."""

    workload: Workload
    pace: float = 1.0
    reader_free_ms: float = 0.0
    ends_ms: list = attrs.Factory(list)
    cache: collections.OrderedDict = attrs.Factory(collections.OrderedDict)

    def first_event_ms(self, at_ms, parts):
        """Return when a request's first event comes, and tokens to read."""
        read = sum(n for _, n in itertools.dropwhile(self._has, parts))
        slots = self.workload.engine.slots
        open_ = sorted(end for end in self.ends_ms if end > at_ms)
        slot_ms = open_[-slots] if len(open_) >= slots else at_ms
        took_ms = read / TOKENS_PER_MS + RUNNING_MS * min(len(open_), slots)
        start_ms = max(at_ms, slot_ms, self.reader_free_ms)
        return start_ms + self.pace * took_ms, read

    def _has(self, part):
        return part[0] in self.cache

    def take(self, at_ms, parts, call_ms):
        """Run a request; return the time to its first event, tokens read."""
        first_ms, read = self.first_event_ms(at_ms, parts)
        self.reader_free_ms = first_ms
        self.ends_ms = [end for end in self.ends_ms if end > at_ms]
        self.ends_ms.append(first_ms + self.pace * call_ms)
        for key, tokens in reversed(parts):
            self.cache[key] = tokens
            self.cache.move_to_end(key)
        while sum(self.cache.values()) > self.workload.engine.memory_tokens:
            self.cache.popitem(last=False)
        return first_ms, read

    def load(self, at_ms):
        """Return what the engine reports."""
        count = sum(end > at_ms for end in self.ends_ms)
        slots = self.workload.engine.slots
        running = min(count, slots)
        pace_percent = round(100 * self.pace)
        return targets.Load(running, count - running, slots, pace_percent)


class Host:
    """What one host knows; it chooses by ``rule``."""

    def __init__(self, rule, workload, engines):
        self.rule, self.workload, self.engines = rule, workload, engines
        self.directory = targets.Directory()
        slots = workload.engine.slots
        listed = [builders.listed(n, 'p', slots=slots) for n in engines]
        self.directory.replace(listed, 1, 0)
        self.orders = holder_orders.HolderOrders(self.directory)
        self.chooser = engine_choice.EngineChooser(
            10_000, lambda: workload.hosts
        )

    def choose(self, name, prompt, at_ms):
        """Return the name of the target for a prompt."""
        pool, part = self.directory.pool('p'), prompt[0].name
        parts = held_prompts.condense(prompt)
        if self.rule == 'oracle':
            costs = {n: e.first_event_ms(at_ms, parts)
                     for n, e in self.engines.items()}  # fmt: skip
            return min(costs, key=lambda n: costs[n])
        if self.rule == 'today':
            preferences = target_selection.Preferences('', part)
            rng = random.Random(1)
            return target_selection.choose(
                pool, preferences, '', rng, at_ms
            ).name
        tokens = sum(n for _, n in parts)
        weighed = engine_choice.Prompt(parts, tokens, name)
        names = self.orders.first('p', '', part)
        found = [self.directory.find(name) for name in names]
        engine, size = self.workload.engine, self.workload.engines
        args = weighed, engine_choice.Pool('p', engine, size)
        choice = self.chooser.choose(*args, found, True, at_ms)
        self.chooser.start(name, *args, choice, at_ms)
        return choice.target.name


def play(rule, workload, seed=1):
    """Return the 95th percentile of times to first events, tokens read."""
    rng = random.Random(seed)
    slow = workload.slow_engines
    engines = {f't{n}': Engine(workload, 4.0 if n < slow else 1.0)
               for n in range(workload.engines)}  # fmt: skip
    hosts = [Host(rule, workload, engines) for _ in range(workload.hosts)]
    times_ms, read, at_ms, events, numbers = [], 0, 0.0, [], itertools.count()
    while at_ms < workload.duration_ms:
        at_ms += rng.expovariate(workload.per_s / 1_000)
        while events and events[0][0] <= at_ms:
            heapq.heappop(events)[2]()
        host, now_ms, name = rng.choice(hosts), int(at_ms), f'r{at_ms}'
        is_hot = rng.random() < workload.hot_share
        part = 0 if is_hot else rng.randrange(1, workload.parts)
        prompt = (
            messages.PromptPart(f'p{part}', workload.shared_tokens),
            messages.PromptPart(name, rng.randrange(100, 1_000)),
        )
        target = host.directory.find(host.choose(name, prompt, now_ms))
        engine = engines[target.name]
        call_ms = rng.expovariate(1 / workload.mean_call_ms)
        parts = held_prompts.condense(prompt)
        first_ms, tokens = engine.take(now_ms, parts, call_ms)
        if at_ms > workload.duration_ms / 3:
            times_ms.append(first_ms - now_ms)
            read += max(0, tokens - prompt[-1].tokens)
        target.in_flight += 1

        def start(h=host, t=target, e=engine, n=name, at=first_ms):
            load = e.load(at)
            target_selection.record_load(t, load, int(at))
            h.chooser.record_start(n, load, int(at))

        def end(h=host, t=target, n=name, at=engine.ends_ms[-1]):
            t.in_flight -= 1
            h.chooser.end(n, int(at))

        heapq.heappush(events, (first_ms, next(numbers), start))
        heapq.heappush(events, (engine.ends_ms[-1], next(numbers), end))
    return sorted(times_ms)[int(0.95 * len(times_ms))], read
