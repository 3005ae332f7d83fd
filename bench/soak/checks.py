"""Checks documented guarantees against records of callers and targets."""

import bisect
import collections
import functools
import typing

import attrs

from bench.soak import callers
from bench.soak import clusters
from bench.soak import stalls
from bench.soak import standins

#: A draining target may get requests for this long (drainMs of the sites).
DRAIN_S = 2.0
#: Responses may arrive this long after the timeout.
TIMEOUT_SLACK_S = 0.5
#: A stopping process may close a connection this soon after a request that
#: it has not read (lossSlackMs).
LOSS_SLACK_S = 0.2
#: Time in which a new key reaches every host (catchUpS).
PROPAGATION_S = 4.0
#: A slow host may apply an older document for this long
#: (eight times downgradeSlackMs).
STALE_DOCUMENT_S = 2.0
#: Minimum share of requests served after all faults.
MIN_RECOVERED_SHARE = 0.9

#: Requests with a part that crashed this many targets, and copies of a
#: request that did, may reach others only this many times, later than
#: contactMs after that.
COUNTED_CRASHES = 5
COUNTED_CRASHES_OF_COPIES = 3
MAX_LATE_ARRIVALS = 3
CONTACT_S = 3.0
#: Requests in a window that a target may get beyond the limit it names.
LIMIT_WINDOW_S = 4.0
LIMIT_FACTOR = 1.5
LIMIT_EXTRA = 5
#: Share of sound requests that begin meanwhile, of this many at least.
MIN_BEGUN_SHARE = 0.5
MIN_SOUND = 20

#: Streams that may hold events of two versions.
MAX_JOINED_STREAMS = 2
#: Least share of resumed streams that go on, of that of new ones that begin.
MIN_RESUMED_SHARE = 0.5
MIN_RESUMED = 12
#: First attempts at hosts that are cut off from all targets are served at
#: least this share as often as at the others, or only so many fail.
MIN_CUT_SHARE = 2 / 3
CUT_FAILURES = 10
CUT_FAILURE_SHARE = 0.02

NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
KEY_REFUSAL_STATUSES = frozenset({401, 403, 404})
NON_IDEMPOTENT_PATHS = frozenset({'/once/x', '/stream/x', '/staged/x'})
STREAM_PATHS = frozenset({'/stream/x', '/resume/x', '/staged/x'})
APP_PREFIXES = ('/once/', '/read/')


@attrs.frozen
class Phase:
    """A time span of the soak test without faults."""

    from_s: float
    until_s: float

    def contains_time(self, at_s: float) -> bool:
        """Tell whether a time lies in the span."""
        return self.from_s <= at_s <= self.until_s

    def contains_request(self, request: callers.RequestRecord) -> bool:
        """Tell whether a request started and ended in the span."""
        return self.contains_time(request.sent_s) and self.contains_time(
            request.ended_s
        )


@attrs.frozen
class Crashes:
    """A span in which requests with ``part`` crash targets.

    ``part`` is one of a prompt, or the path that copies have in common.
    ``all_parts`` do so in that span; ``crashed_s`` is when targets ended.
    """

    part: str
    all_parts: frozenset[str]
    until_s: float
    crashed_s: list[float]

    @property
    def pool(self) -> str:
        """Return the pool whose targets crash."""
        return pool_of(self.part) if self.part.startswith('/') else 'engine'

    @property
    def counted_s(self) -> float | None:
        """Return the crash from which on requests are counted, if any."""
        is_copy = self.part.startswith('/')
        count = COUNTED_CRASHES_OF_COPIES if is_copy else COUNTED_CRASHES
        return (
            self.crashed_s[count - 1] if len(self.crashed_s) >= count else None
        )


@attrs.frozen
class Limit:
    """A span in which a target names a limit of requests."""

    target: str
    milli_per_s: int
    from_s: float
    until_s: float


@attrs.frozen
class Cut:
    """A span in which hosts are cut off from all targets."""

    edges: frozenset[str]
    from_s: float
    until_s: float


@attrs.frozen(slots=False)
class Record:
    """The records of one soak test.

    ``planned`` is the phase of planned changes, ``recovered`` the last part
    of the run, after all faults and changes.
    """

    requests: list[callers.RequestRecord]
    runs: list[standins.Run]
    keys: list[clusters.KeyValidity]
    draining_since_s: dict[str, float]
    planned: Phase
    recovered: Phase
    link_stalls: list[stalls.Stall] = attrs.field(factory=list)
    crashes: tuple[Crashes, ...] = ()
    limits: tuple[Limit, ...] = ()
    cuts: tuple[Cut, ...] = ()
    streams: Phase | None = None

    @functools.cached_property
    def runs_by_id(self) -> dict[str, list[standins.Run]]:
        """Return the runs by attempt id."""
        by_id: dict[str, list[standins.Run]] = collections.defaultdict(list)
        for run in self.runs:
            by_id[run.attempt_id].append(run)
        return by_id

    def has_no_stall(self, from_s: float, until_s: float) -> bool:
        """Tell whether the links did not stall in a span."""
        return not any(
            stall.overlaps(from_s, until_s) for stall in self.link_stalls
        )

    @functools.cached_property
    def undisturbed_requests(self) -> list[callers.RequestRecord]:
        """Return the requests of the planned phase that met no stall."""
        return [
            request
            for request in self.requests
            if self.planned.contains_request(request)
            and self.has_no_stall(request.sent_s, request.ended_s)
        ]


Violations = typing.Iterator[str]


def find_violations(record: Record) -> list[str]:
    """Return a line for each violated guarantee."""
    return [line for check in CHECKS for line in check(record)]


def _responses_are_complete(record: Record) -> Violations:
    for request in record.requests:
        is_success = request.status is not None and request.status < 300
        if not is_success:
            continue
        if request.path in STREAM_PATHS:
            versions = standins.versions_in(request.body)
            expected = standins.stream_body(
                request.attempt_id, request.last_event_id, versions
            )
        else:
            expected = standins.response_body(request.attempt_id)
        at = request.description
        if not expected.startswith(request.body) or request.signature is None:
            yield f'MIXED: {at} got {request.body[-80:]!r}'
        elif request.is_complete and request.body != expected:
            kind = 'stream' if request.path in STREAM_PATHS else 'body'
            yield (
                f'MIXED: {at} got a {kind} that ends as complete after '
                f'{len(request.body)} of {len(expected)} bytes'
            )


def _responses_belong_to_their_request(record: Record) -> Violations:
    for request in record.requests:
        if request.answers_id not in (None, request.attempt_id):
            yield (
                f'MIXED: {request.description} got the answer to '
                f'{request.answers_id}'
            )


def _non_idempotent_requests_run_once(record: Record) -> Violations:
    paths = {request.attempt_id: request.path for request in record.requests}
    for attempt_id, runs in record.runs_by_id.items():
        run_count = sum(run.has_run for run in runs)
        if run_count > 1 and paths.get(attempt_id) in NON_IDEMPOTENT_PATHS:
            yield f'TWICE: {attempt_id} ran {run_count} times'
        if attempt_id not in paths:
            places = sorted({f'{run.target} {run.parts}' for run in runs})
            yield f'UNASKED: no caller sent {attempt_id!r} to {places}'


def _refused_requests_do_not_run(record: Record) -> Violations:
    runs = record.runs_by_id
    for request in record.requests:
        is_refused = request.status in NOT_RUN_STATUSES
        if not is_refused or request.path not in NON_IDEMPOTENT_PATHS:
            continue
        if any(run.has_run for run in runs.get(request.attempt_id, ())):
            yield f'REFUSED: {request.attempt_id} got {request.status} but ran'


def _revoked_keys_are_refused(record: Record) -> Violations:
    ends = {t.key: t.until_s for t in record.keys if t.until_s is not None}
    runs = record.runs_by_id
    for request in record.requests:
        end_s = ends.get(request.key)
        is_late = (
            end_s is not None and request.sent_s > end_s + clusters.REVOKE_S
        )
        if is_late and request.attempt_id in runs:
            yield f'CONFIG: {request.attempt_id} ran with {request.key}'


def _versions_never_decrease(record: Record) -> Violations:
    order = [validity.key for validity in record.keys]
    accepted: dict[tuple[str, int], list[tuple[float, int]]] = {}
    runs = record.runs_by_id
    for request in sorted(
        record.requests, key=lambda request: request.ended_s
    ):
        number = order.index(request.key)
        newest = accepted.setdefault((request.edge, request.incarnation), [])
        if request.attempt_id not in runs:
            continue
        # A document that adds a key has revoked the one two before it.
        applied = [
            n for at_s, n in newest if at_s + STALE_DOCUMENT_S < request.sent_s
        ]
        if applied and max(applied) >= number + 2:
            yield f'CONFIG: {request.attempt_id} ran with {request.key} again'
        if request.status == 200:
            newest.append((request.ended_s, number))


def _valid_keys_are_accepted(record: Record) -> Violations:
    validities = {validity.key: validity for validity in record.keys}
    for request in record.requests:
        validity = validities[request.key]
        is_allowed = validity.from_s + PROPAGATION_S < request.sent_s and (
            validity.until_s is None or request.ended_s < validity.until_s
        )
        if is_allowed and request.status in KEY_REFUSAL_STATUSES:
            yield f'DENIED: {request.attempt_id} got {request.status}'


def _draining_targets_get_no_requests(record: Record) -> Violations:
    for run in record.runs:
        draining_since_s = record.draining_since_s.get(run.target)
        if draining_since_s is None or not record.planned.contains_time(
            run.at_s
        ):
            continue
        late_s = run.at_s - draining_since_s
        if late_s > DRAIN_S and record.has_no_stall(
            draining_since_s, run.at_s
        ):
            yield (
                f'DRAIN: {run.attempt_id} at {run.target} '
                f'{late_s:.1f} s after it began to drain'
            )


def _planned_changes_lose_no_requests(record: Record) -> Violations:
    runs = record.runs_by_id
    for request in record.undisturbed_requests:
        if request.status is not None and request.is_complete:
            continue
        elapsed_s = request.ended_s - request.sent_s
        if request.attempt_id in runs or elapsed_s > LOSS_SLACK_S:
            yield (f'LOST: {request.description} after {elapsed_s:.2f} s')


def _responses_meet_the_timeout(record: Record) -> Violations:
    limit_s = clusters.TIMEOUT_S + TIMEOUT_SLACK_S
    for request in record.undisturbed_requests:
        elapsed_s = request.ended_s - request.sent_s
        if elapsed_s > limit_s:
            yield f'LATE: {request.attempt_id} ended after {elapsed_s:.1f} s'


def _retries_stay_in_budget(record: Record) -> Violations:
    window_s = clusters.BUDGET_WINDOW_S
    for pool in ('app', 'engine'):
        sent = sorted(
            request.sent_s
            for request in record.requests
            if pool_of(request.path) == pool
        )
        arrived = sorted(r.at_s for r in record.runs if r.pool == pool)
        retries = sorted(
            run.at_s
            for runs in record.runs_by_id.values()
            for run in runs[1:]
            if run.pool == pool
        )
        for end_s in arrived:
            retry_count = _count(retries, end_s - window_s, end_s)
            sent_count = max(
                _count(sent, end_s - back_s - window_s, end_s - back_s)
                for back_s in (0, window_s / 2, window_s)
            )
            bound = (
                clusters.RETRY_RATIO * sent_count + clusters.RETRY_ALLOWANCE
            )
            if retry_count > bound:
                yield (
                    f'BUDGET: {retry_count} retries to {pool}, '
                    f'limit {bound:.0f}'
                )
                break


def _count(times: list[float], from_s: float, until_s: float) -> int:
    return bisect.bisect_right(times, until_s) - bisect.bisect_left(
        times, from_s
    )


def _bad_parts_are_not_sent_on(record: Record) -> Violations:
    for crashes in record.crashes:
        if crashes.counted_s is None:
            continue
        late = [
            run
            for run in record.runs
            if crashes.part in run.parts
            and run.at_s > crashes.counted_s + CONTACT_S
        ]
        if len(late) > MAX_LATE_ARRIVALS:
            yield (
                f'BUDGET: {len(late)} requests with {crashes.part} came late, '
                f'{len(crashes.crashed_s)} targets ended in all'
            )


def _sound_requests_begin_beside_bad_parts(record: Record) -> Violations:
    for crashes in record.crashes:
        if not crashes.crashed_s:
            continue
        from_s = crashes.counted_s or crashes.crashed_s[-1]
        sound = [
            request
            for request in record.requests
            if pool_of(request.path) == crashes.pool
            and not crashes.all_parts & set(request.parts)
            and from_s + 2 * CONTACT_S < request.sent_s < crashes.until_s
        ]
        begun = sum(r.status == 200 and bool(r.body) for r in sound)
        if len(sound) >= MIN_SOUND and begun < MIN_BEGUN_SHARE * len(sound):
            yield (
                f'LOST: {begun} of {len(sound)} sound requests began beside '
                f'{crashes.part}'
            )


def _limits_are_kept(record: Record) -> Violations:
    for limit in record.limits:
        allowed = (
            LIMIT_FACTOR * limit.milli_per_s / 1_000 * LIMIT_WINDOW_S
            + LIMIT_EXTRA
        )
        arrived = [
            run.at_s
            for run in record.runs
            if run.target == limit.target
            and limit.from_s + CONTACT_S <= run.at_s <= limit.until_s
        ]
        worst = max(
            (_count(arrived, s, s + LIMIT_WINDOW_S) for s in arrived),
            default=0,
        )
        if worst > allowed:
            yield (
                f'LIMIT: {worst} requests in {LIMIT_WINDOW_S:.0f} s at '
                f'{limit.target}, allowed {allowed:.1f}'
            )


def _streams_are_of_one_version(record: Record) -> Violations:
    versions: dict[str, set[str]] = collections.defaultdict(set)
    for request in record.requests:
        if request.path == callers.RESUMED_PATH:
            first_id = request.resumes or request.attempt_id
            versions[first_id].update(standins.versions_in(request.body))
    joined = [name for name, found in versions.items() if len(found) > 1]
    if len(joined) > MAX_JOINED_STREAMS:
        yield f'ORDER: {len(joined)} streams of two versions, as {joined[0]}'


def _resumed_streams_go_on(record: Record) -> Violations:
    if record.streams is None:
        return
    sent = [
        request
        for request in record.requests
        if request.path == callers.RESUMED_PATH
        and record.streams.contains_request(request)
    ]
    resumed = [r for r in sent if r.resumes]
    new = [r for r in sent if not r.resumes]
    begun = sum(bool(r.body) for r in new if r.status == 200)
    gone_on = sum(r.status == 200 for r in resumed)
    share = begun / max(1, len(new))
    is_low = gone_on < MIN_RESUMED_SHARE * share * len(resumed)
    if len(resumed) >= MIN_RESUMED and is_low:
        yield (
            f'LOST: {gone_on} of {len(resumed)} resumed streams went on, '
            f'{begun} of {len(new)} new ones began'
        )


def _hosts_without_targets_serve(record: Record) -> Violations:
    for cut in record.cuts:
        sent = [
            request
            for request in record.requests
            if cut.from_s + CONTACT_S <= request.sent_s
            and request.ended_s <= cut.until_s
            and not request.resumes
            and record.has_no_stall(request.sent_s, request.ended_s)
        ]
        (cut_served, cut_sent), (served, others) = (
            (sum(r.status == 200 and r.is_complete for r in group), len(group))
            for group in (
                [r for r in sent if r.edge in cut.edges],
                [r for r in sent if r.edge not in cut.edges],
            )
        )
        failed = cut_sent - cut_served
        allowed = CUT_FAILURES + CUT_FAILURE_SHARE * len(sent)
        is_worse = cut_served * others < MIN_CUT_SHARE * served * cut_sent
        if is_worse and failed > allowed:
            yield (
                f'RECOVER: {cut_served} of {cut_sent} served at hosts without '
                f'targets, {served} of {others} at the others'
            )


def pool_of(path: str) -> str:
    """Return the pool that runs the requests of a path."""
    return 'app' if path.startswith(APP_PREFIXES) else 'engine'


def _service_recovers(record: Record) -> Violations:
    allowed = {t.key for t in record.keys if t.until_s is None}
    sent = [
        request
        for request in record.requests
        if record.recovered.contains_request(request)
        and request.key in allowed
    ]
    served = sum(
        request.status == 200 and request.is_complete for request in sent
    )
    if served < MIN_RECOVERED_SHARE * max(1, len(sent)):
        yield f'RECOVER: {served} of {len(sent)} requests served at the end'


CHECKS: tuple[typing.Callable[[Record], Violations], ...] = (
    _responses_are_complete,
    _responses_belong_to_their_request,
    _non_idempotent_requests_run_once,
    _refused_requests_do_not_run,
    _revoked_keys_are_refused,
    _versions_never_decrease,
    _valid_keys_are_accepted,
    _draining_targets_get_no_requests,
    _planned_changes_lose_no_requests,
    _responses_meet_the_timeout,
    _retries_stay_in_budget,
    _bad_parts_are_not_sent_on,
    _sound_requests_begin_beside_bad_parts,
    _limits_are_kept,
    _streams_are_of_one_version,
    _resumed_streams_go_on,
    _hosts_without_targets_serve,
    _service_recovers,
)
