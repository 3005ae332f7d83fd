"""Quarantine of prompt parts and requests that crash targets.

Hosts tell one another, as facts, which traits were on a target that ended
and which a target has served since; every host decides alike on both, with
`crash_evidence`. What is blocked is also written to the store, so that it
outlives a restart of all hosts. One host writes the row of each trait.

Deleting the row ends the quarantine of the trait on all hosts.
"""

import collections
import functools
import itertools
import typing

import attrs
import xxhash

from godwitglade.common import clock as clocks
from godwitglade.common import events
from godwitglade.coordination import effects as shared_effects
from godwitglade.coordination import messages as shared_messages
from godwitglade.routing import crash_evidence
from godwitglade.routing import effects
from godwitglade.routing import messages
from godwitglade.routing import rendezvous
from godwitglade.routing import request as request_
from godwitglade.routing import targets
from godwitglade.routing import traits

Effects = list[typing.Any]

CRASH_KIND = 'crash'
SOUND_KIND = 'sound'
FACT_KINDS = frozenset({CRASH_KIND, SOUND_KIND})
TOKEN = 'quarantine:'

#: Time for which crashes are remembered.
TTL_MS = 10 * clocks.MINUTE_MS
#: The requests lost in one crash are reported together after this time.
REPORT_DELAY_MS = 30
#: Interval at which a row that the store lacks is written again.
WRITE_INTERVAL_MS = 3 * clocks.SECOND_MS
#: Traits or crashes in one fact, whose size is limited.
FACT_ITEMS = 12
#: A response that has been running for this time shows its prompt is sound.
SETTLED_MS = 500
#: Crashes in a row of the store, and rows that are used.
ROW_CRASHES = 16
MAX_ROWS = 256
#: Traits whose last success on this host is remembered.
MAX_SUCCESSES = 2_048
CRASH_ID_LENGTH = 8
#: First letter of the ids of crashes in a trial; others are hexadecimal.
TRIAL_PREFIX = 't'
#: Pause after a failed trial, and before one for which nothing speaks; both
#: grow by the factor with each further failure.
TRIAL_PAUSE_MS = 8 * clocks.SECOND_MS
PROBE_PAUSE_MS = 60 * clocks.SECOND_MS
TRIAL_PAUSE_FACTOR = 6


@attrs.frozen
class _Row:
    crashes: tuple[str, ...]
    read_ms: int


@attrs.define
class LostRequests:
    """The traits that were on a target when this host saw it end."""

    target: targets.TargetEntry
    seen_ms: int
    traits: dict[str, None] = attrs.field(factory=dict)


@attrs.frozen
class _FailedTrials:
    count: int
    at_ms: int


class Quarantine:
    """What this host knows of traits that crash targets.

    ``live_names`` returns the names of the hosts in service.
    """

    def __init__(
        self, self_name: str, live_names: typing.Callable[[], list[str]]
    ) -> None:
        self._self_name = self_name
        self._live_names = live_names
        self._evidence = crash_evidence.CrashEvidence()
        self._blocked: frozenset[str] = frozenset()
        self._lost: dict[str, LostRequests] = {}
        self._successes_ms: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self._cleared: dict[str, list[str]] = {}
        self._rows: dict[str, _Row] = {}
        self._listed: set[str] = set()
        self._written_ms: dict[str, int] = {}
        self._trial_id: str | None = None
        self._failed_trials: dict[str, _FailedTrials] = {}
        self._blocked_since_ms: dict[str, int] = {}

    @property
    def blocked(self) -> frozenset[str]:
        """Return the traits whose requests are refused."""
        return self._blocked

    def refuses(self, request: request_.Request, now_ms: int) -> bool:
        """Return whether a request must not be sent to a target.

        One request at a time is let through as a trial; it holds that place
        until `end_request`.
        """
        verdict = self._evidence.verdict(request.traits, self._successes_ms)
        if verdict is crash_evidence.Verdict.FREE:
            return False
        if not self._may_try(request.traits, verdict, now_ms):
            return True
        self._trial_id = self._trial_id or request.request_id
        return self._trial_id != request.request_id

    def _may_try(
        self,
        tried: tuple[str, ...],
        verdict: crash_evidence.Verdict,
        now_ms: int,
    ) -> bool:
        """Return whether a request with blocked traits may be a trial.

        Without another cause for the crashes, and after a failed trial, one
        host makes a trial from time to time, with requests that have nothing
        else which was on a crashed target.
        """
        is_in_doubt = verdict is crash_evidence.Verdict.TRIAL
        base_ms = TRIAL_PAUSE_MS if is_in_doubt else PROBE_PAUSE_MS
        struck = [trait for trait in tried if self._crashes(trait)]
        for trait in self._blocked.intersection(tried):
            failed = self._failed_trials.get(trait)
            if failed is None and is_in_doubt:
                continue
            if len(struck) > 1 or not self._is_keeper(trait):
                return False
            count, since_ms = 1, self._blocked_since_ms.get(trait, now_ms)
            if failed is not None:
                count, since_ms = failed.count, failed.at_ms
            pause_ms = base_ms * TRIAL_PAUSE_FACTOR ** (count - 1)
            if now_ms < since_ms + pause_ms:
                return False
        return True

    def _is_keeper(self, trait: str) -> bool:
        """Return whether this host cares for a trait on behalf of all."""
        return rendezvous.first(trait, self._live_names()) == self._self_name

    def end_request(self, request: request_.Request) -> None:
        """Record that a request has ended."""
        if self._trial_id == request.request_id:
            self._trial_id = None

    def record_crash(
        self,
        request: request_.Request,
        target: targets.TargetEntry,
        now_ms: int,
    ) -> Effects:
        """Record that the process of a target ended under a request."""
        settled = settled_traits(request, now_ms)
        # What was served elsewhere in that time does not crash targets.
        suspected = [
            trait
            for trait in request.traits
            if trait not in settled
            and self._successes_ms.get(trait, -1) < request.sent_ms
        ]
        is_trial = request.request_id == self._trial_id
        if is_trial:
            suspected = [t for t in suspected if t in self._blocked]
        if not suspected:
            return []
        if is_trial:
            key = f'{_trial_crash_id(target)}|0'
            return [_publish(CRASH_KIND, key, suspected, is_urgent=True)]
        crash = _crash_id(target)
        is_known = crash in self._lost
        lost = self._lost.setdefault(crash, LostRequests(target, now_ms))
        lost.traits.update(dict.fromkeys(suspected))
        if is_known:
            return []
        due_ms = now_ms + REPORT_DELAY_MS
        return [shared_effects.StartTimer(f'{TOKEN}{crash}', due_ms)]

    def record_success(
        self, request: request_.Request, now_ms: int
    ) -> Effects:
        """Record that a target ran a request to its end."""
        for trait in request.traits:
            self._successes_ms[trait] = now_ms
            self._successes_ms.move_to_end(trait)
        while len(self._successes_ms) > MAX_SUCCESSES:
            self._successes_ms.popitem(last=False)
        return self.clear(request.traits)

    def clear(self, cleared: typing.Iterable[str]) -> Effects:
        """Tell all hosts that traits are not what crashed targets."""
        return [effect for trait in cleared for effect in self._clear(trait)]

    def unreported(self, crash: str) -> LostRequests | None:
        """Return what a crash that is not reported yet has lost."""
        return self._lost.get(crash)

    def drop_report(self, crash: str) -> None:
        """Drop a crash report, since connections broke for another reason."""
        self._lost.pop(crash, None)

    @functools.singledispatchmethod
    def handle(self, message: typing.Any, now_ms: int) -> Effects:
        """Handle a message; messages of other components are ignored."""
        return []

    @handle.register
    def _(self, message: shared_messages.TimerFired, now_ms: int) -> Effects:
        crash = message.token.removeprefix(TOKEN)
        found = self._lost.pop(crash, None)
        lost = iter(found.traits if found else ())
        chunks = iter(lambda: list(itertools.islice(lost, FACT_ITEMS)), [])
        return [
            _publish(CRASH_KIND, f'{crash}|{number}', chunk, is_urgent=True)
            for number, chunk in enumerate(chunks)
        ]

    @handle.register
    def _(self, message: shared_messages.FactChanged, now_ms: int) -> Effects:
        subject, _, number = message.key.rpartition('|')
        value = message.value or []
        if not _is_valid_fact(message.kind, subject, value):
            return []
        if message.kind == CRASH_KIND:
            report = f'{message.origin}|{message.key}'
            if value:
                self._evidence.add(report, subject, tuple(value))
            else:
                self._evidence.remove(report)
            if subject.startswith(TRIAL_PREFIX):
                self._record_failed_trial(value, now_ms)
        else:
            source = f'{message.origin}|{number}'
            self._evidence.clear(subject, source, value)
            if not value and message.origin == self._self_name:
                self._cleared.pop(subject, None)
        return self._apply_changes(now_ms)

    @handle.register
    def _(self, message: messages.QuarantineRead, now_ms: int) -> Effects:
        listed = {
            row.trait: row.crashes
            for row in message.rows[:MAX_ROWS]
            if traits.is_trait(row.trait) and row.crashes
        }
        if message.is_complete:
            # A row that is only missing was lost, and is written again.
            self._listed.clear()
        self._listed |= listed.keys()
        for trait, crashes in listed.items():
            self._set_row(trait, _Row(crashes[:ROW_CRASHES], now_ms))
        ended = [t for t in message.removed if t in self._listed]
        cleared = self.clear(ended)
        for trait in ended:
            self._listed.discard(trait)
            self._set_row(trait, None)
        return cleared + self._apply_changes(now_ms)

    def maintain(self, now_ms: int) -> Effects:
        """Drop expired rows; write or remove rows of the store."""
        expired = [
            trait
            for trait, row in self._rows.items()
            if now_ms - row.read_ms >= TTL_MS
        ]
        for trait in expired:
            self._set_row(trait, None)
        self._failed_trials = {
            trait: failed
            for trait, failed in self._failed_trials.items()
            if now_ms - failed.at_ms < TTL_MS
        }
        new_effects = self._apply_changes(now_ms)
        unlisted = {
            trait
            for trait in self._blocked - self._listed
            if trait in self._failed_trials or trait not in self._successes_ms
        }
        wrong = unlisted | {
            trait for trait in self._listed if not self._crashes(trait)
        }
        due = [
            trait
            for trait in sorted(wrong)
            if now_ms - self._written_ms.get(trait, -WRITE_INTERVAL_MS)
            >= WRITE_INTERVAL_MS
            and self._is_keeper(trait)
        ]
        self._written_ms = {
            trait: self._written_ms[trait]
            for trait in wrong & self._written_ms.keys()
        } | dict.fromkeys(due, now_ms)
        return new_effects + [self._write(trait) for trait in due]

    def _record_failed_trial(
        self, failed: typing.Iterable[str], now_ms: int
    ) -> None:
        for trait in failed:
            previous = self._failed_trials.get(trait, _FailedTrials(0, 0))
            # Hosts that make a trial at the same time count once.
            if previous.count and now_ms - previous.at_ms < TRIAL_PAUSE_MS:
                continue
            self._failed_trials[trait] = _FailedTrials(
                previous.count + 1, now_ms
            )

    def _write(self, trait: str) -> typing.Any:
        if trait not in self._blocked:
            return effects.RemoveQuarantine(trait)
        crashes = sorted(self._crashes(trait))[:ROW_CRASHES]
        return effects.WriteQuarantine(trait, tuple(crashes))

    def _set_row(self, trait: str, row: _Row | None) -> None:
        """Use the crashes in a row of the store, None for no row."""
        previous = self._rows.pop(trait, None)
        if row is not None:
            self._rows[trait] = row
        before = set(previous.crashes if previous else ())
        after = set(row.crashes if row else ())
        for crash in before - after:
            self._evidence.remove(f'|{trait}|{crash}')
        for crash in after - before:
            self._evidence.add(f'|{trait}|{crash}', crash, (trait,))

    def _crashes(self, trait: str) -> frozenset[str]:
        return self._evidence.crashes(trait)

    def _clear(self, trait: str) -> Effects:
        crashes = self._crashes(trait)
        cleared = self._cleared.get(trait, [])
        fresh = sorted(crashes.difference(cleared))
        if not fresh:
            return []
        first = len(cleared) // FACT_ITEMS
        cleared = self._cleared.setdefault(trait, cleared)
        cleared += fresh
        starts = range(first * FACT_ITEMS, len(cleared), FACT_ITEMS)
        is_urgent = len(crashes) >= crash_evidence.MIN_CRASHES - 1
        return [
            _publish(
                SOUND_KIND,
                f'{trait}|{start // FACT_ITEMS}',
                cleared[start : start + FACT_ITEMS],
                is_urgent,
            )
            for start in starts
        ]

    def _apply_changes(self, now_ms: int) -> Effects:
        """Log which traits are newly blocked and which no longer are."""
        before, self._blocked = self._blocked, self._evidence.blocked
        if self._blocked == before:
            return []
        self._blocked_since_ms = {
            trait: self._blocked_since_ms.get(trait, now_ms)
            for trait in self._blocked
        }
        started = [
            shared_effects.LogEvent(
                events.Event.QUARANTINE_STARTED,
                {'trait': trait, 'crashes': len(self._crashes(trait))},
            )
            for trait in sorted(self._blocked - before)
        ]
        ended = [
            shared_effects.LogEvent(
                events.Event.QUARANTINE_ENDED, {'trait': trait}
            )
            for trait in sorted(before - self._blocked)
        ]
        return started + ended


def settled_traits(request: request_.Request, now_ms: int) -> tuple[str, ...]:
    """Return the traits that do not crash the target of a request.

    A target reads the whole prompt before it starts to respond.
    """
    started_ms = request.response_started_ms
    if started_ms is None or now_ms - started_ms < SETTLED_MS:
        return ()
    return tuple(filter(traits.is_part, request.traits))


def _crash_id(target: targets.TargetEntry) -> str:
    """Return a short id of the end of one incarnation of a target."""
    incarnation = f'{target.name}@{target.started_ms}'
    return xxhash.xxh3_64_hexdigest(incarnation.encode())[:CRASH_ID_LENGTH]


def _trial_crash_id(target: targets.TargetEntry) -> str:
    """Return an id that no other request on the target reports."""
    return TRIAL_PREFIX + _crash_id(target)[1:]


def _publish(
    kind: str, key: str, value: list[str], is_urgent: bool
) -> shared_effects.PublishFact:
    return shared_effects.PublishFact(kind, key, value, TTL_MS, is_urgent)


def _is_valid_fact(kind: str, subject: str, value: typing.Any) -> bool:
    """Return whether a fact of another host has the form of a report."""
    if not isinstance(value, list) or len(value) > FACT_ITEMS:
        return False
    is_item = traits.is_trait if kind == CRASH_KIND else is_crash_id
    is_subject = is_crash_id if kind == CRASH_KIND else traits.is_trait
    return is_subject(subject) and all(map(is_item, value))


def is_crash_id(value: typing.Any) -> bool:
    """Return whether a value from outside has the form of a crash's id."""
    is_text = isinstance(value, str) and value.isalnum()
    return is_text and len(value) == CRASH_ID_LENGTH
