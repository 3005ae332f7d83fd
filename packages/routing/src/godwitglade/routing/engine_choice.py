"""Choice of the engine at which a prompt is expected to start first.

The holders of the prompt's last shared part are compared in the order that
all hosts agree on. A later one is chosen only if its expected time to the
first event is shorter, so a part spreads when the queue at its first holder
costs more than reading it again. See docs/design/held-prompts.md.
"""

import collections
import math
import typing

import attrs
import xxhash

from godwitglade.routing import documents
from godwitglade.routing import forecasts
from godwitglade.routing import held_prompts
from godwitglade.routing import target_selection
from godwitglade.routing import targets

#: Holders that a part may have, and targets compared for a request. Each
#: further one costs another reading of the part, and memory there.
MAX_HOLDERS = 16
#: Sends of this host to an engine that its estimated load is drawn to: one
#: host of many sees too few of them to tell the loads of engines apart.
PRIOR_SENDS = 8.0
#: A part gets another holder when its requests would fill more than this
#: share of the slots of those that it has.
HOLDER_FILL = 0.5
#: Weight of a ms by which a reading delays each running request, compared
#: to a ms of the request itself: most running ones have had their first event.
DELAY_WEIGHT = 0.5
#: Sends of a part that do not count towards its rate: seen from one of many
#: hosts, a rare part would look popular after one send.
IGNORED_SENDS = 0.5
#: Parts, pools and targets whose rate of requests is known.
MAX_RATES = 8_192


@attrs.frozen
class Prompt:
    """A prompt to send: its parts, and the tokens that it needs in memory.

    ``key`` spreads the requests of a popular part, evenly and repeatably.
    Only of a stream is the time of the first event known.
    """

    parts: held_prompts.Parts
    memory_tokens: int
    key: str = ''
    is_stream: bool = True

    @property
    def shared(self) -> int | None:
        """Return the digest of the last part that others may share."""
        return self.parts[-2][0] if len(self.parts) > 1 else None


@attrs.frozen
class Pool:
    """The pool of a request, with the number of its targets."""

    name: str
    engine: documents.Engine
    size: int


@attrs.frozen
class Candidate:
    """An engine with the figures that a choice needs.

    ``holder`` is its index in the agreed order, None outside of it. The
    oldest request of this host that has had no event there was sent
    ``waited_ms`` ago. ``pace`` is the time that work takes there, divided by
    the usual. ``is_certain`` means that ``read_tokens`` does not depend on
    what other hosts have sent.
    """

    target: targets.Target
    holder: int | None
    read_tokens: int
    requests: float
    waited_ms: int
    pace: float
    has_room: bool
    is_certain: bool


@attrs.frozen
class Choice:
    """The engine chosen, and what was expected there."""

    target: targets.Target
    holder: int | None
    read_tokens: int
    expected_ms: float
    is_certain: bool
    has_room: bool


def cost_ms(
    candidate: Candidate, slots: int, times: forecasts.EngineTimes
) -> tuple[float, float]:
    """Return the expected time to the first event, and that plus delays.

    The delays are those of the requests that run there already.
    """
    running = min(candidate.requests, slots)
    ahead = max(0.0, candidate.requests + 1 - slots)
    reading_ms = candidate.read_tokens * times.token_ms
    queue_ms = max(
        candidate.waited_ms, candidate.pace * ahead * times.call_ms / slots
    )
    own_ms = queue_ms + candidate.pace * (
        reading_ms + running * times.running_ms
    )
    delay_ms = candidate.pace * reading_ms * running * DELAY_WEIGHT
    return own_ms, own_ms + delay_ms


def choose(
    candidates: typing.Sequence[Candidate],
    slots: int,
    times: forecasts.EngineTimes,
) -> Choice:
    """Return the cheapest candidate with room, the first of equal ones."""
    roomy = [c for c in candidates if c.has_room] or candidates
    best = min(roomy[:MAX_HOLDERS], key=lambda c: cost_ms(c, slots, times)[1])
    return Choice(
        best.target,
        best.holder,
        best.read_tokens,
        cost_ms(best, slots, times)[0],
        best.is_certain,
        best.has_room,
    )


@attrs.define(eq=False)
class _Rates:
    """Sends of this host by part, target and pool, fading with their age."""

    _sends: collections.OrderedDict[typing.Hashable, tuple[float, int]] = (
        attrs.Factory(collections.OrderedDict)
    )

    def count(
        self, key: typing.Hashable, window_ms: int, now_ms: int
    ) -> float:
        """Return the number of sends in about the last ``window_ms``."""
        sends, at_ms = self._sends.get(key, (0.0, now_ms))
        return sends * math.exp(-max(0, now_ms - at_ms) / window_ms)

    def add(self, key: typing.Hashable, window_ms: int, now_ms: int) -> None:
        """Record a send."""
        count = self.count(key, window_ms, now_ms) + 1
        self._sends[key] = (count, now_ms)
        self._sends.move_to_end(key)
        if len(self._sends) > MAX_RATES:
            self._sends.popitem(last=False)


@attrs.frozen
class _Expected:
    """Requests that are expected at engines whose load is not known.

    ``mean`` is that of the pool, ``sends`` the sends of this host to one
    engine; ``others`` is the mean without the requests of one shared part,
    each main holder of which has ``share`` of these. ``is_popular`` means
    that other hosts may have sent the part to any holder.
    """

    mean: float
    sends: float
    others: float
    share: float
    is_popular: bool

    def at(self, sends: float, is_main: bool) -> float:
        """Return the requests at an engine with so many sends."""
        ratio = (PRIOR_SENDS + sends) / (PRIOR_SENDS + self.sends)
        own = self.mean * ratio
        return max(own, self.others + self.share) if is_main else own


@attrs.define(eq=False)
class _Send:
    """A prompt sent to a target, until its call ends."""

    choice: Choice
    pool: Pool
    prompt: Prompt
    new: tuple[int, ...]
    sent_ms: int
    has_started: bool = False


class EngineChooser:
    """Chooses engines by what it knows of all sends of this host.

    ``window_ms`` is the time for which engines keep a part, None while the
    choice is not made here. ``count_hosts`` returns the number of hosts,
    each of which sees about the same share of the requests.
    """

    def __init__(
        self,
        window_ms: int | None,
        count_hosts: typing.Callable[[], int],
    ) -> None:
        self.window_ms = window_ms
        self.held = held_prompts.HeldPrompts()
        self._count_hosts = count_hosts
        self._times: dict[str, forecasts.EngineTimes] = {}
        self._rates = _Rates()
        self._sends: dict[str, _Send] = {}
        self._waiting: dict[str, dict[str, int]] = {}
        self._tokens: collections.Counter[str] = collections.Counter()

    def times(self, pool: str) -> forecasts.EngineTimes:
        """Return what was learnt of the engines of a pool."""
        return self._times.setdefault(pool, forecasts.EngineTimes())

    def choose(
        self,
        prompt: Prompt,
        pool: Pool,
        holders: typing.Sequence[targets.Target],
        is_agreed: bool,
        now_ms: int,
    ) -> Choice:
        """Return the choice among ``holders``.

        If they are in the agreed order, the first of them are assumed to
        hold the shared parts: as many as its requests need, and at least one.
        """
        count, expected = self._expect(prompt, pool, now_ms)
        count = min(count, len(holders)) if is_agreed else 0
        first = 0
        if count:
            first = xxhash.xxh3_64_intdigest(prompt.key.encode()) % count
        order = [
            *range(first, count),
            *range(first),
            *range(count, len(holders)),
        ]
        candidates = [
            self._candidate(
                prompt,
                pool,
                holders[index],
                index if is_agreed else None,
                index < count,
                expected,
                now_ms,
            )
            for index in order
        ]
        return choose(candidates, pool.engine.slots, self.times(pool.name))

    def _expect(
        self, prompt: Prompt, pool: Pool, now_ms: int
    ) -> tuple[int, _Expected]:
        """Return the number of main holders, and what is expected there.

        The requests of all hosts are estimated from those of this one, since
        each of them sees about the same share of the requests.
        """
        call_ms = self.times(pool.name).call_ms
        per_send = max(1, self._count_hosts()) * call_ms / self.window_ms
        sends = self._count(pool.name, now_ms)
        part_sends = 0.0
        if prompt.shared is not None:
            part_sends = max(
                0.0, self._count(prompt.shared, now_ms) - IGNORED_SENDS
            )
        requests = part_sends * per_send
        others = max(0.0, sends * per_send - requests) / pool.size
        free = max(1.0, HOLDER_FILL * pool.engine.slots - others)
        count = min(max(1, math.ceil(requests / free)), MAX_HOLDERS)
        return count, _Expected(
            mean=sends * per_send / pool.size,
            sends=sends / pool.size,
            others=others,
            share=requests / count,
            is_popular=requests > 0,
        )

    def _count(self, key: typing.Hashable, now_ms: int) -> float:
        return self._rates.count(key, self.window_ms, now_ms)

    def _candidate(
        self,
        prompt: Prompt,
        pool: Pool,
        target: targets.Target,
        holder: int | None,
        is_main: bool,
        expected: _Expected,
        now_ms: int,
    ) -> Candidate:
        """Return a target with its figures."""
        times = self.times(pool.name)
        read_tokens = self.held.tokens_to_read(
            target, prompt.parts, self.window_ms, now_ms
        )
        own_tokens = prompt.parts[-1][1] if prompt.parts else 0
        is_held = read_tokens <= own_tokens
        freshness, reported = 0.0, 0
        if target.load is not None and target.load.running is not None:
            freshness = target_selection.load_freshness(target, now_ms)
            reported = target.load.requests if freshness else 0
        unseen = expected.at(self._count(target.name, now_ms), is_main)
        requests = max(
            target.in_flight, freshness * reported + (1 - freshness) * unseen
        )
        others = max(0, reported - target.in_flight)
        tokens = (
            self._tokens[target.name]
            + others * times.memory_tokens
            + prompt.memory_tokens
        )
        return Candidate(
            target,
            holder,
            own_tokens if is_main and not is_held else read_tokens,
            requests,
            self._waited_ms(target, now_ms),
            target_selection.pace(target, now_ms),
            tokens <= pool.engine.memory_tokens,
            is_held or not (is_main or expected.is_popular),
        )

    def _waited_ms(self, target: targets.Target, now_ms: int) -> int:
        """Return for how long the oldest call waits for its first event.

        Engines report a queue only to those who have passed it.
        """
        waiting = self._waiting.get(target.name, {})
        return now_ms - next(iter(waiting.values()), now_ms)

    def _end_wait(self, request_id: str, target: targets.Target) -> None:
        waiting = self._waiting.get(target.name, {})
        waiting.pop(request_id, None)
        if not waiting:
            self._waiting.pop(target.name, None)

    def start(
        self,
        request_id: str,
        prompt: Prompt,
        pool: Pool,
        choice: Choice,
        now_ms: int,
    ) -> None:
        """Record that a prompt is sent to the engine chosen."""
        # Callers name the tokens, so they are no more than fit an engine.
        self.times(pool.name).record_prompt(
            min(prompt.memory_tokens, pool.engine.memory_tokens)
        )
        for key in (pool.name, choice.target.name, prompt.shared):
            if key is not None:
                self._rates.add(key, self.window_ms, now_ms)
        new = self.held.record(
            choice.target,
            prompt.parts,
            pool.engine.memory_tokens,
            self.window_ms,
            now_ms,
        )
        self._tokens[choice.target.name] += prompt.memory_tokens
        if prompt.is_stream:
            waiting = self._waiting.setdefault(choice.target.name, {})
            waiting[request_id] = now_ms
        self._sends[request_id] = _Send(choice, pool, prompt, new, now_ms)

    def record_start(
        self, request_id: str, load: targets.Load | None, now_ms: int
    ) -> None:
        """Learn from the time from a send to the first event."""
        send = self._sends.get(request_id)
        if send is None or send.has_started:
            return
        send.has_started = True
        self._end_wait(request_id, send.choice.target)
        if load is None or load.running is None or load.waiting:
            return
        # An assumed reading says nothing of speed, nor does time in a queue,
        # nor more tokens than an engine can hold.
        is_possible = send.choice.read_tokens <= send.pool.engine.memory_tokens
        is_measured = send.choice.is_certain and send.prompt.is_stream
        if is_measured and is_possible:
            elapsed_ms = (now_ms - send.sent_ms) * (
                targets.USUAL_PACE_PERCENT / load.pace_percent
            )
            self.times(send.pool.name).record_read(
                send.choice.read_tokens, max(0, load.running - 1), elapsed_ms
            )

    def end(self, request_id: str, now_ms: int | None = None) -> None:
        """Record that a call has ended."""
        send = self._sends.pop(request_id, None)
        if send is None:
            return
        target = send.choice.target
        self._end_wait(request_id, target)
        self._tokens[target.name] -= send.prompt.memory_tokens
        if self._tokens[target.name] <= 0:
            del self._tokens[target.name]
        if not send.has_started:
            self.held.discard(target, send.new)
        elif now_ms is not None:
            self.times(send.pool.name).record_call(now_ms - send.sent_ms)

    def sent(self, request_id: str) -> Choice | None:
        """Return the choice for a prompt that is sent now."""
        send = self._sends.get(request_id)
        return send.choice if send is not None else None
