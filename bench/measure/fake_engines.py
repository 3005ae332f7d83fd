"""A fake model engine: continuous batching and a bounded prefix cache."""

import collections

from bench.measure import fake_targets
from godwitglade.decisions import messages
from godwitglade.decisions import streams


def text_of(request_id: str, tokens: int) -> str:
    """Return the text of a generation, one character a token."""
    start = sum(request_id.encode())
    return ''.join(chr(97 + (start + i) % 26) for i in range(tokens))


class FakeEngine(fake_targets.FakeTarget):
    """All running calls take a step together; more calls, slower steps."""

    def __init__(self, *args) -> None:
        super().__init__(*args)
        self.cache: collections.OrderedDict = collections.OrderedDict()
        self.hits = 0
        self.misses = 0
        self._advanced_ms = 0.0
        self._wake = 0

    def _size_of(self, call, work) -> float:
        return float(work.tokens - call.resume_offset)

    def _forget_cache(self) -> None:
        self.cache.clear()

    def _prefill_steps(self, entry) -> float:
        prefix = entry.work.prefix
        is_cached = prefix in self.cache
        self.cache[prefix] = True
        self.cache.move_to_end(prefix)
        if len(self.cache) > self.shape.cached_prefixes:
            self.cache.popitem(last=False)
        self.hits += is_cached
        self.misses += not is_cached
        shape = self.shape
        spent_ms = shape.cached_prefill_ms if is_cached else shape.prefill_ms
        return spent_ms / (shape.step_base_ms + shape.step_each_ms)

    def _step_ms(self) -> float:
        shape = self.shape
        each_ms = shape.step_each_ms * len(self.running)
        return (shape.step_base_ms + each_ms) * self.slowness

    def _advance(self) -> None:
        elapsed_ms = self.clock.now_ms - self._advanced_ms
        self._advanced_ms = self.clock.now_ms
        if not self.running or elapsed_ms <= 0:
            return
        steps = elapsed_ms / self._step_ms()
        share_ms = elapsed_ms / len(self.running)
        for entry in self.running.values():
            entry.left -= steps
            self.on_cost(entry.call, share_ms)

    def _fill(self) -> None:
        self._advance()
        while self.queue and len(self.running) < self.shape.slots:
            entry = self.queue.popleft()
            entry.left += self._prefill_steps(entry)
            self.running[entry.call.attempt_id] = entry
            self._poison(entry)
        self._wake += 1
        if self.running:
            least = min(entry.left for entry in self.running.values())
            due_ms = max(0.01, least * self._step_ms())
            due_ms = min(due_ms, fake_targets.PIECE_INTERVAL_MS)
            self.clock.after(due_ms, self._woken, self._wake)

    def _woken(self, wake: int) -> None:
        if wake != self._wake:
            return
        self._advance()
        for entry in list(self.running.values()):
            self._emit(entry)
            if entry.left <= 0.001:
                del self.running[entry.call.attempt_id]
                self._finish(entry)
        self._fill()

    def _emit(self, entry) -> None:
        if not entry.call.is_stream:
            return
        made = entry.work.tokens - max(0, int(entry.left + 0.999))
        start = max(entry.sent_tokens, entry.call.resume_offset)
        if made <= start:
            return
        text = text_of(entry.call.request_id, made)[start:]
        entry.sent_tokens = made
        entry.reply(
            messages.StreamPiece(
                entry.call.request_id,
                entry.call.stage,
                entry.call.attempt_id,
                start,
                text,
            )
        )

    def _finish(self, entry) -> None:
        call = entry.call
        ids = (call.request_id, call.stage, call.attempt_id)
        text = text_of(call.request_id, entry.work.tokens)
        spent_ms = int(self.clock.now_ms - entry.arrived_ms)
        if not call.is_stream:
            reply = messages.StageReplied(
                *ids, {'text': text}, spent_ms, self.load()
            )
            entry.reply(reply)
            return
        digest = streams.digest_of(text)
        entry.reply(
            messages.StreamEnded(
                *ids, len(text), digest, spent_ms, self.load()
            )
        )
