"""Simulated callers that follow the load of a case."""

import functools
import random

from bench.measure import cases
from bench.measure import fake_targets
from bench.measure import simulation as simulations
from godwitglade.decisions import messages

POISON = 'poison'
POISON_INTERVAL_MS = 1_000


class Callers:
    """Sends the requests of a case, each to a random host."""

    def __init__(
        self, simulation: simulations.Simulation, case: cases.Case, seed: int
    ):
        self.simulation = simulation
        self.case = case
        self.rng = random.Random(seed * 7919 + 1)
        self.request_count = 0
        for mix in simulation.deployment.mixes:
            self._schedule_next(mix)
        if case.has_poison:
            simulation.clock.call_at(cases.FAULT_MS, self._send_poison)

    def _schedule_next(self, mix) -> None:
        simulation, case = self.simulation, self.case
        has_engine = cases.uses_engine(mix, simulation.deployment)
        load = case.load(simulation.clock.now_ms, has_engine)
        names, weights = self._workspaces(mix)
        scale = sum(weights) / sum(w.share for w in mix.document.workspaces)
        rate = load * scale * simulation.deployment.capacity * mix.share / 1000
        send = functools.partial(self._send, mix, names, weights)
        simulation.clock.call_after(self.rng.expovariate(rate), send)

    def _workspaces(self, mix):
        shares = {w.name: w.share for w in mix.document.workspaces}
        if self.simulation.clock.now_ms >= cases.FAULT_MS:
            shares['large-1'] *= self.case.large_workspace_factor
        return list(shares), list(shares.values())

    def _send(self, mix, names, weights) -> None:
        if self.simulation.clock.now_ms > self.case.duration_ms:
            return
        self._schedule_next(mix)
        workspace = self.rng.choices(names, weights)[0]
        self._submit(mix, workspace)

    def _submit(self, mix, workspace: str, is_poison: bool = False) -> None:
        self.request_count += 1
        now_ms = int(self.simulation.clock.now_ms)
        document = mix.document
        is_repeatable = not document.has_non_repeatable
        request_id = f'r{self.request_count}'
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
        work_by_stage = {
            stage.name: self._draw_work(stage, mix, template, is_poison)
            for stage in document.stages
        }
        self.simulation.tally.record_arrival(request, document)
        entry = self.rng.choice(self.simulation.entries)
        self.simulation.submit(entry, request, work_by_stage)

    def _draw_work(self, stage, mix, template, is_poison) -> fake_targets.Work:
        work = self.simulation.deployment.draw_work(stage, mix, self.rng)
        is_engine = stage.pool == self.simulation.deployment.engine_pool
        return fake_targets.Work(
            work.service_ms,
            work.tokens,
            template if is_engine else '',
            is_poison and is_engine,
        )

    def _send_poison(self) -> None:
        if self.simulation.clock.now_ms > self.case.duration_ms:
            return
        mix = self.simulation.deployment.mixes[0]
        self._submit(mix, 'small-3', is_poison=True)
        self.simulation.clock.call_after(POISON_INTERVAL_MS, self._send_poison)


def _prompt(template: str, request_id: str) -> str:
    """Return a prompt with a long prefix shared by its template."""
    return f'{template} ' * 40 + request_id
