"""Harness for the request policy, with a manual clock and fake claims."""

import heapq
import random

import attrs

from godwitglade.coordination import claim_messages
from godwitglade.coordination import effects as coordination_effects
from godwitglade.coordination import hosts
from godwitglade.coordination import messages as coordination_messages
from godwitglade.decisions import documents
from godwitglade.decisions import effects
from godwitglade.decisions import messages
from godwitglade.decisions import requests
from godwitglade.decisions import settings as request_settings
from godwitglade.decisions import streams
from godwitglade.decisions import targets

PIPELINE = 'papers'


def stage(name, **changes):
    """Return a stage on a pool of the same name."""
    fields = {
        'kind': documents.StageKind.CALL,
        'pool': name,
        'budget_ms': 2_000,
    }
    return documents.Stage(name=name, **(fields | changes))


def document(*stages, **changes):
    """Return a document with the workspaces small and large."""
    fields = {
        'pipeline': PIPELINE,
        'team': 'onboarding',
        'deadline_ms': 5_000,
        'stages': stages,
        'workspaces': (
            documents.Workspace('small'),
            documents.Workspace('large', share=4),
        ),
        'priorities': {'high': 0, 'normal': 1},
    }
    return documents.Document(**(fields | changes))


def pool(name, count=3, zone='z1', **changes):
    """Return ``count`` live targets of a pool."""
    return tuple(
        targets.Target(
            f'{name}-{i}', name, zone, f'10.0.{len(name)}.{i}:80', **changes
        )
        for i in range(count)
    )


@attrs.define
class Table:
    """Claim rows in memory: nonce, digest and outcome by key."""

    rows: dict = attrs.Factory(dict)
    is_down: bool = False


@attrs.define
class FakeClaims:
    """Claims in a shared table, settled at once unless ``is_held``."""

    table: Table
    is_held: bool = False
    held: list = attrs.Factory(list)
    log: list = attrs.Factory(list)

    def claim(self, key, digest, send_by_ms, now_ms, nonce=None):
        """Grant the claim when the key is free."""
        verdict = self._verdict(key, digest, nonce)
        settled = claim_messages.ClaimSettled(key, nonce, verdict)
        if self.is_held:
            self.held.append(settled)
            return []
        return [coordination_effects.Deliver(settled)]

    def may_send(self, key, nonce, now_ms):
        """Tell whether the nonce still holds the key."""
        return self.table.rows.get(key, {}).get('nonce') == nonce

    def settle(self, key, nonce, outcome, now_ms):
        """Record the outcome."""
        self.log.append(('settle', outcome['outcome']))
        self.table.rows[key]['outcome'] = outcome
        return []

    def release(self, key, nonce, reason, now_ms):
        """Free the key."""
        self.log.append(('release', reason))
        del self.table.rows[key]
        return []

    def look_up(self, key, query_id, now_ms):
        """Deliver the state of the key."""
        row = self.table.rows.get(key)
        state = 'absent' if row is None else 'running'
        outcome = row and row['outcome']
        state = 'settled' if outcome else state
        state = 'unavailable' if self.table.is_down else state
        looked = claim_messages.ClaimLooked(query_id, state, outcome)
        return [coordination_effects.Deliver(looked)]

    def _verdict(self, key, digest, nonce):
        if self.table.is_down:
            reason = claim_messages.Reason.STORE_UNAVAILABLE
            return claim_messages.NotRun(reason)
        row = self.table.rows.get(key)
        if row is None:
            self.table.rows[key] = {
                'nonce': nonce,
                'digest': digest,
                'outcome': None,
            }
            return claim_messages.Granted()
        if row['digest'] != digest:
            return claim_messages.KeyReused()
        if row['outcome']:
            return claim_messages.Done(row['outcome'])
        owner = hosts.HostId('other', 'z1', 1)
        return claim_messages.HeldElsewhere(owner, row['nonce'], True)


class Harness:
    """Drives one `Requests` and records its effects."""

    def __init__(self, *stages, table=None, name='host-1', **options):
        self.now_ms = 0
        self.effects = []
        self.calls = {}
        self.timers = []
        self.claims = FakeClaims(table or Table())
        self.requests = requests.Requests(
            hosts.HostId(name, options.pop('zone', 'z1'), 1),
            random.Random(7),
            self.claims,
            options.pop('settings', request_settings.RequestSettings()),
        )
        listed = options.pop('targets', None) or tuple(
            target for s in stages for target in pool(s.pool)
        )
        self.deliver(messages.TargetsListed(listed))
        pipeline = document(*stages, **options)
        self.deliver(messages.DocumentsInForce({PIPELINE: pipeline}))
        self.apply_effects(self.requests.start(0))

    def deliver(self, message):
        """Handle a message; return the resulting effects."""
        before = len(self.effects)
        self.apply_effects(self.requests.handle(message, self.now_ms))
        return self.effects[before:]

    def apply_effects(self, emitted):
        """Record effects, start timers and deliver internal messages."""
        for effect in emitted:
            self.effects.append(effect)
            if isinstance(effect, coordination_effects.Deliver):
                self.deliver(effect.message)
            if isinstance(effect, coordination_effects.StartTimer):
                entry = (effect.due_ms, len(self.effects), effect.token)
                heapq.heappush(self.timers, entry)
            if isinstance(effect, effects.CallTarget):
                self.calls[effect.attempt_id] = effect

    def advance(self, by_ms):
        """Advance the clock and fire the timers that become due."""
        until_ms = self.now_ms + by_ms
        while self.timers and self.timers[0][0] <= until_ms:
            due_ms, _, token = heapq.heappop(self.timers)
            self.now_ms = max(self.now_ms, due_ms)
            self.deliver(coordination_messages.TimerFired(token))
        self.now_ms = until_ms

    def send(self, request_id='r1', **changes):
        """Deliver a request; return the resulting effects."""
        fields = {
            'workspace': 'small',
            'pipeline': PIPELINE,
            'payload': {'ask': 'x'},
            'deadline_ms': self.now_ms + 5_000,
        }
        return self.deliver(
            messages.RequestArrived(request_id, **(fields | changes))
        )

    def reply(self, call, output='out', **changes):
        """Deliver a reply to ``call``."""
        return self.deliver(
            messages.StageReplied(
                call.request_id,
                call.stage,
                call.attempt_id,
                output,
                **changes,
            )
        )

    def fault(self, call, kind, **changes):
        """Deliver a fault of ``call``."""
        return self.deliver(
            messages.StageFault(
                call.request_id, call.stage, call.attempt_id, kind, **changes
            )
        )

    def piece(self, call, offset, text):
        """Deliver one piece of a stream."""
        return self.deliver(
            messages.StreamPiece(
                call.request_id, call.stage, call.attempt_id, offset, text
            )
        )

    def end(self, call, text, digest=None):
        """Deliver the final frame of a stream of ``text``."""
        return self.deliver(
            messages.StreamEnded(
                call.request_id,
                call.stage,
                call.attempt_id,
                len(text),
                digest or streams.digest_of(text),
            )
        )

    def effects_of(self, kind):
        """Return all recorded effects of a type."""
        return [e for e in self.effects if isinstance(e, kind)]

    @property
    def last_call(self):
        """Return the last call that was sent."""
        return self.effects_of(effects.CallTarget)[-1]

    def outcome(self, request_id='r1'):
        """Return the only outcome of a request."""
        answers = [
            answer.outcome
            for answer in self.effects_of(effects.AnswerCaller)
            if answer.request_id == request_id
        ]
        assert len(answers) == 1, answers
        return answers[0]


def one_stage(count=3, name='host-1', **changes):
    return Harness(
        stage('find', **changes),
        targets=pool('find', count),
        name=name,
    )


def warm_up(host, count=12, after_ms=100):
    """Complete requests, so that the stage has measured durations."""
    for number in range(count):
        host.send(f'warm-{number}', deadline_ms=host.now_ms + 60_000)
        host.advance(after_ms)
        host.reply(host.last_call, load=targets.Load(1, 0, 8))


def tracked(host, name):
    return host.requests.context.directory.by_name[name]


def facts(host, kind):
    published = host.effects_of(coordination_effects.PublishFact)
    return [fact for fact in published if fact.kind == kind]


def deliver_fact(host, fact, origin='host-9'):
    return host.deliver(
        coordination_messages.FactChanged(
            fact.kind, fact.key, fact.value, origin
        )
    )
