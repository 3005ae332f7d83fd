"""Prompt parts that targets are believed to hold, from this host's own sends.

An engine that has read a part need not read it again until other parts have
pushed it out of its memory. Engines tell nothing of this, so a part is
believed to be held for a while after this host has sent it.
"""

import collections
import itertools
import typing

import attrs
import xxhash

from godwitglade.routing import messages
from godwitglade.routing import targets

#: Bounds of what is remembered; with them about 5 MB are used.
MAX_ENGINES = 512
MAX_PARTS_PER_ENGINE = 64
#: Parts of one prompt that are considered; a header can name thousands.
MAX_PARTS = 16
#: More tokens than any memory has, so that sums stay exact.
MAX_TOKENS = 10**9

Parts = tuple[tuple[int, int], ...]


def condense(prompt: typing.Sequence[messages.PromptPart]) -> Parts:
    """Return digest and tokens of each part; the last part is kept.

    Digests bound the memory that long names would need. The parts after the
    first `MAX_PARTS` count as the request's own.
    """
    parts = [
        (xxhash.xxh3_64_intdigest(part.name.encode()), part.tokens)
        for part in prompt[: MAX_PARTS - 1]
    ]
    rest = prompt[MAX_PARTS - 1 :]
    if rest:
        name = rest[-1].name.encode()
        tokens = sum(part.tokens for part in rest)
        parts.append((xxhash.xxh3_64_intdigest(name), tokens))
    return tuple((key, min(tokens, MAX_TOKENS)) for key, tokens in parts)


@attrs.define(eq=False)
class _Engine:
    """Parts by digest, the one used longest ago first.

    ``process`` distinguishes the processes that used the target's name.
    """

    process: tuple[int, bool]
    parts: collections.OrderedDict[int, tuple[int, int]] = attrs.Factory(
        collections.OrderedDict
    )
    tokens: int = 0

    def add(self, key: int, tokens: int, now_ms: int) -> bool:
        """Record the use of a part; return whether it was not held."""
        is_new = self.remove(key) is None
        self.parts[key] = (tokens, now_ms)
        self.tokens += tokens
        return is_new

    def remove(self, key: int) -> int | None:
        """Forget a part; return its tokens, None if it was not held."""
        if key not in self.parts:
            return None
        tokens, _used_ms = self.parts.pop(key)
        self.tokens -= tokens
        return tokens

    def shrink(self, memory_tokens: int, oldest_ms: int) -> None:
        """Forget parts that are too old or no longer fit the memory."""
        while self.parts:
            key, (_tokens, used_ms) = next(iter(self.parts.items()))
            is_full = (
                self.tokens > memory_tokens
                or len(self.parts) > MAX_PARTS_PER_ENGINE
            )
            if not is_full and used_ms > oldest_ms:
                return
            self.remove(key)


class HeldPrompts:
    """What each target is believed to hold."""

    def __init__(self) -> None:
        self._engines: collections.OrderedDict[str, _Engine] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        return len(self._engines)

    def record(
        self,
        target: targets.Target,
        parts: Parts,
        memory_tokens: int,
        window_ms: int,
        now_ms: int,
    ) -> tuple[int, ...]:
        """Record that a prompt is sent; return the parts that are new."""
        engine = self._find(target)
        if engine is None:
            engine = self._engines[target.name] = _Engine(_process(target))
        self._engines.move_to_end(target.name)
        if len(self._engines) > MAX_ENGINES:
            self._engines.popitem(last=False)
        # Engines drop the ends of prompts first, as nothing follows them.
        new = tuple(
            key
            for key, tokens in reversed(parts)
            if engine.add(key, tokens, now_ms)
        )
        engine.shrink(memory_tokens, now_ms - window_ms)
        return new

    def discard(
        self, target: targets.Target, keys: typing.Iterable[int]
    ) -> None:
        """Forget parts that a target has not read after all."""
        engine = self._find(target)
        if engine is not None:
            for key in keys:
                engine.remove(key)

    def forget(self, target: targets.Target) -> None:
        """Forget all that a target holds, as it may have ended."""
        self._engines.pop(target.name, None)

    def tokens_to_read(
        self,
        target: targets.Target,
        parts: Parts,
        window_ms: int,
        now_ms: int,
    ) -> int:
        """Return the tokens of the parts from the first that is not held."""
        engine = self._find(target)
        held = engine.parts if engine is not None else {}
        to_read = itertools.dropwhile(
            lambda part: part[0] in held
            and now_ms - held[part[0]][1] < window_ms,
            parts,
        )
        return sum(tokens for _key, tokens in to_read)

    def _find(self, target: targets.Target) -> _Engine | None:
        """Return the record of a target's present process."""
        engine = self._engines.get(target.name)
        if engine is not None and engine.process != _process(target):
            del self._engines[target.name]
            return None
        return engine


def _process(target: targets.Target) -> tuple[int, bool]:
    return target.listed.started_ms, target.is_replaced
