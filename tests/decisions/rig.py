"""A host's request policy on a manual clock, with claims in memory."""

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
    """Return a document with workspaces small and large."""
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
    """Claim rows in memory: key to nonce, digest and outcome."""

    rows: dict = attrs.Factory(dict)
    is_down: bool = False


@attrs.define
class FakeClaims:
    """Claims on a shared table that settle at once unless ``is_held``."""

    table: Table
    is_held: bool = False
    held: list = attrs.Factory(list)
    log: list = attrs.Factory(list)

    def claim(self, key, digest, send_by_ms, now_ms, nonce=None):
        """Take the key when it is free."""
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

    def look(self, key, query_id, now_ms):
        """Return the state of the key."""
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


class Rig:
    """Drives one `Requests` and keeps what it asked for."""

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
        self.tell(messages.TargetsListed(listed))
        pipeline = document(*stages, **options)
        self.tell(messages.DocumentsInForce({PIPELINE: pipeline}))
        self.carry_out(self.requests.start(0))

    def tell(self, message):
        """Hand a message in; return the effects that followed."""
        before = len(self.effects)
        self.carry_out(self.requests.handle(message, self.now_ms))
        return self.effects[before:]

    def carry_out(self, asked):
        """Note effects, arm timers and deliver what is for delivery."""
        for effect in asked:
            self.effects.append(effect)
            if isinstance(effect, coordination_effects.Deliver):
                self.tell(effect.message)
            if isinstance(effect, coordination_effects.StartTimer):
                entry = (effect.due_ms, len(self.effects), effect.token)
                heapq.heappush(self.timers, entry)
            if isinstance(effect, effects.CallTarget):
                self.calls[effect.attempt_id] = effect

    def advance(self, by_ms):
        """Move the clock and fire the timers that fall due."""
        until_ms = self.now_ms + by_ms
        while self.timers and self.timers[0][0] <= until_ms:
            due_ms, _, token = heapq.heappop(self.timers)
            self.now_ms = max(self.now_ms, due_ms)
            self.tell(coordination_messages.TimerFired(token))
        self.now_ms = until_ms

    def send(self, request_id='r1', **changes):
        """Let a request arrive; return the effects that followed."""
        fields = {
            'workspace': 'small',
            'pipeline': PIPELINE,
            'payload': {'ask': 'x'},
            'deadline_ms': self.now_ms + 5_000,
        }
        return self.tell(
            messages.RequestArrived(request_id, **(fields | changes))
        )

    def reply(self, call, output='out', **changes):
        """Let the target of ``call`` reply."""
        return self.tell(
            messages.StageReplied(
                call.request_id,
                call.stage,
                call.attempt_id,
                output,
                **changes,
            )
        )

    def fault(self, call, kind, **changes):
        """Let ``call`` fail."""
        return self.tell(
            messages.StageFault(
                call.request_id, call.stage, call.attempt_id, kind, **changes
            )
        )

    def piece(self, call, offset, text):
        """Let one piece of a stream arrive."""
        return self.tell(
            messages.StreamPiece(
                call.request_id, call.stage, call.attempt_id, offset, text
            )
        )

    def end(self, call, text, digest=None):
        """Let the final frame of a stream of ``text`` arrive."""
        return self.tell(
            messages.StreamEnded(
                call.request_id,
                call.stage,
                call.attempt_id,
                len(text),
                digest or streams.digest_of(text),
            )
        )

    def of(self, kind):
        """Return every effect of one kind so far."""
        return [e for e in self.effects if isinstance(e, kind)]

    @property
    def last_call(self):
        """Return the call sent last."""
        return self.of(effects.CallTarget)[-1]

    def outcome(self, request_id='r1'):
        """Return the only outcome of a request."""
        answers = [
            answer.outcome
            for answer in self.of(effects.AnswerCaller)
            if answer.request_id == request_id
        ]
        assert len(answers) == 1, answers
        return answers[0]


def one_stage(count=3, name='host-1', **changes):
    return Rig(
        stage('find', **changes),
        targets=pool('find', count),
        name=name,
    )


def answer_many(made, count=12, after_ms=100):
    """Let requests be answered so that times are measured."""
    for number in range(count):
        made.send(f'warm-{number}', deadline_ms=made.now_ms + 60_000)
        made.advance(after_ms)
        made.reply(made.last_call, load=targets.Load(1, 0, 8))


def tracked(made, name):
    return made.requests.context.directory.by_name[name]


def facts(made, kind):
    found = made.of(coordination_effects.PublishFact)
    return [fact for fact in found if fact.kind == kind]


def learn(made, fact, origin='host-9'):
    return made.tell(
        coordination_messages.FactLearned(
            fact.kind, fact.key, fact.value, origin
        )
    )
