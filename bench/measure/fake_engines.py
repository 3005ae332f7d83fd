"""Fake model engine with continuous batching and a prefix cache."""

import collections

from bench.measure import fake_targets
from godwitglade.decisions import messages
from godwitglade.decisions import streams


def text_of(request_id: str, tokens: int) -> str:
    """Return the generated text of a request, one character per token."""
    start = sum(request_id.encode())
    return ''.join(chr(97 + (start + i) % 26) for i in range(tokens))


class FakeEngine(fake_targets.FakeTarget):
    """Runs calls in lockstep; each running call makes steps slower."""

    def __init__(self, *args) -> None:
        super().__init__(*args)
        self.cache: collections.OrderedDict = collections.OrderedDict()
        self.hits = 0
        self.misses = 0
        self._advanced_ms = 0.0
        self._timer_number = 0

    def _total_work(self, call, work) -> float:
        return float(work.tokens - call.resume_offset)

    def _clear_cache(self) -> None:
        self.cache.clear()

    def _prefill_steps(self, accepted) -> float:
        prefix = accepted.work.prefix
        is_cached = prefix in self.cache
        self.cache[prefix] = True
        self.cache.move_to_end(prefix)
        if len(self.cache) > self.profile.cached_prefixes:
            self.cache.popitem(last=False)
        self.hits += is_cached
        self.misses += not is_cached
        profile = self.profile
        spent_ms = (
            profile.cached_prefill_ms if is_cached else profile.prefill_ms
        )
        return spent_ms / (profile.step_base_ms + profile.step_per_call_ms)

    def _step_ms(self) -> float:
        profile = self.profile
        each_ms = profile.step_per_call_ms * len(self.running)
        return (profile.step_base_ms + each_ms) * self.slowdown_factor

    def _advance(self) -> None:
        elapsed_ms = self.clock.now_ms - self._advanced_ms
        self._advanced_ms = self.clock.now_ms
        if not self.running or elapsed_ms <= 0:
            return
        steps = elapsed_ms / self._step_ms()
        share_ms = elapsed_ms / len(self.running)
        for accepted in self.running.values():
            accepted.remaining -= steps
            self.on_cost(accepted.call, share_ms)

    def _start_queued(self) -> None:
        self._advance()
        while self.queue and len(self.running) < self.profile.slots:
            accepted = self.queue.popleft()
            accepted.remaining += self._prefill_steps(accepted)
            self.running[accepted.call.attempt_id] = accepted
            self._schedule_crash(accepted)
        self._timer_number += 1
        if self.running:
            least = min(
                accepted.remaining for accepted in self.running.values()
            )
            due_ms = max(0.01, least * self._step_ms())
            due_ms = min(due_ms, fake_targets.PIECE_INTERVAL_MS)
            self.clock.call_after(due_ms, self._on_timer, self._timer_number)

    def _on_timer(self, timer_number: int) -> None:
        if timer_number != self._timer_number:
            return
        self._advance()
        for accepted in list(self.running.values()):
            self._send_piece(accepted)
            if accepted.remaining <= 0.001:
                del self.running[accepted.call.attempt_id]
                self._send_result(accepted)
        self._start_queued()

    def _send_piece(self, accepted) -> None:
        if not accepted.call.is_stream:
            return
        generated = accepted.work.tokens - max(
            0, int(accepted.remaining + 0.999)
        )
        start = max(accepted.sent_tokens, accepted.call.resume_offset)
        if generated <= start:
            return
        text = text_of(accepted.call.request_id, generated)[start:]
        accepted.sent_tokens = generated
        accepted.reply(
            messages.StreamPiece(
                accepted.call.request_id,
                accepted.call.stage,
                accepted.call.attempt_id,
                start,
                text,
            )
        )

    def _send_result(self, accepted) -> None:
        call = accepted.call
        ids = (call.request_id, call.stage, call.attempt_id)
        text = text_of(call.request_id, accepted.work.tokens)
        spent_ms = int(self.clock.now_ms - accepted.arrived_ms)
        if not call.is_stream:
            reply = messages.StageReplied(
                *ids, {'text': text}, spent_ms, self.load()
            )
            accepted.reply(reply)
            return
        digest = streams.digest_of(text)
        accepted.reply(
            messages.StreamEnded(
                *ids, len(text), digest, spent_ms, self.load()
            )
        )
