"""Callers: arrivals drawn from a case's load."""

import functools
import random

from bench.measure import cases
from bench.measure import fake_targets
from bench.measure import world as worlds
from godwitglade.decisions import messages

POISON = 'poison'
POISON_INTERVAL_MS = 1_000


class Callers:
    """Send the requests of a case; the balancer draws a host for each."""

    def __init__(self, world: worlds.World, case: cases.Case, seed: int):
        self.world = world
        self.case = case
        self.rng = random.Random(seed * 7919 + 1)
        self.count = 0
        for mix in world.deployment.mixes:
            self._next(mix)
        if case.has_poison:
            world.clock.at(cases.FAULT_MS, self._poison)

    def _next(self, mix) -> None:
        world, case = self.world, self.case
        has_engine = cases.uses_engine(mix, world.deployment)
        load = case.load(world.clock.now_ms, has_engine)
        names, weights = self._workspaces(mix)
        growth = sum(weights) / sum(w.share for w in mix.document.workspaces)
        rate = load * growth * world.deployment.capacity * mix.share / 1000
        send = functools.partial(self._send, mix, names, weights)
        world.clock.after(self.rng.expovariate(rate), send)

    def _workspaces(self, mix):
        shares = {w.name: w.share for w in mix.document.workspaces}
        if self.world.clock.now_ms >= cases.FAULT_MS:
            shares['large-1'] *= self.case.greedy
        return list(shares), list(shares.values())

    def _send(self, mix, names, weights) -> None:
        if self.world.clock.now_ms > self.case.duration_ms:
            return
        self._next(mix)
        workspace = self.rng.choices(names, weights)[0]
        self._arrive(mix, workspace)

    def _arrive(self, mix, workspace: str, is_poison: bool = False) -> None:
        self.count += 1
        now_ms = int(self.world.clock.now_ms)
        document = mix.document
        is_repeatable = not document.has_non_repeatable
        request_id = f'r{self.count}'
        template = f'{workspace}/{self.rng.randrange(3)}'
        request = messages.RequestArrived(
            request_id=request_id,
            workspace=workspace,
            pipeline=document.pipeline,
            payload={'prompt': _prompt(template, request_id)},
            deadline_ms=now_ms + document.deadline_ms,
            fingerprint=POISON if is_poison else request_id,
            idempotency_key=None if is_repeatable else request_id,
            is_stream=self.rng.random() < mix.stream_share,
        )
        sizes = {
            stage.name: self._work(stage, mix, template, is_poison)
            for stage in document.stages
        }
        self.world.tally.arrived(request, document)
        entry = self.rng.choice(self.world.entries)
        self.world.arrive(entry, request, sizes)

    def _work(self, stage, mix, template, is_poison) -> fake_targets.Work:
        work = self.world.deployment.work(stage, mix, self.rng)
        is_engine = stage.pool == self.world.deployment.engine_pool
        return fake_targets.Work(
            work.service_ms,
            work.tokens,
            template if is_engine else '',
            is_poison and is_engine,
        )

    def _poison(self) -> None:
        if self.world.clock.now_ms > self.case.duration_ms:
            return
        mix = self.world.deployment.mixes[0]
        self._arrive(mix, 'small-3', is_poison=True)
        self.world.clock.after(POISON_INTERVAL_MS, self._poison)


def _prompt(template: str, request_id: str) -> str:
    """Return a prompt whose long beginning a template's requests share."""
    return f'{template} ' * 40 + request_id
