"""Reply to the caller for each way in which its request can end."""

import random

import attrs
import pytest
import xxhash

from godwitglade.common import events
from godwitglade.coordination import effects as shared_effects
from godwitglade.coordination import hosts
from godwitglade.coordination import membership
from godwitglade.coordination import messages as shared_messages
from godwitglade.routing import bodies
from godwitglade.routing import budget
from godwitglade.routing import document_state
from godwitglade.routing import documents
from godwitglade.routing import effects
from godwitglade.routing import hand_over
from godwitglade.routing import messages
from godwitglade.routing import permit_schedule
from godwitglade.routing import pool_versions
from godwitglade.routing import process_confirmations
from godwitglade.routing import quarantine
from godwitglade.routing import rate_limits
from godwitglade.routing import reachability
from godwitglade.routing import request_lifecycle
from godwitglade.routing import resumption
from godwitglade.routing import stage_jobs
from godwitglade.routing import stopping
from godwitglade.routing import stream_versions
from godwitglade.routing import targets
from tests.routing import builders

Kind = documents.RequestKind
Ending = bodies.Ending
SELF = hosts.HostId('h1', 'z1', 1)


class Harness:
    """The requests of one host, with a document and some targets."""

    def __init__(self, *routes, target_count=3, allowance=50.0, **fields):
        self.document_state = document_state.DocumentState(
            fields.pop('revoke_ms', None)
        )
        pools = (
            documents.Pool('app'),
            documents.Pool('encode', batching=builders.batching()),
        )
        document = builders.document(*routes, pools=pools, **fields)
        self.document_state.apply(document, 0)
        self.directory = targets.Directory()
        listed = [builders.listed(f't{n}', 'app') for n in range(target_count)]
        self.directory.replace(listed, 1, 0)
        members = membership.Membership(SELF, '10.0.1.1:1', random.Random(1))
        cut_off = hand_over.CutOffHosts('h1')
        versions = pool_versions.PoolVersions()
        versions.set_listed('app', self.directory.versions('app'), 0)
        versions.is_complete, versions.confirmed_ms = True, 0
        streams = stream_versions.StreamVersions(SELF, members, versions)
        self.stopping = stopping.Stopping(7_000)
        self.limits = rate_limits.RateLimits('h1', members, cut_off)
        self.versions, self.streams = versions, streams
        self.requests = request_lifecycle.Requests(
            SELF,
            self.document_state,
            self.directory,
            random.Random(1),
            budget.Bounds(allowance=allowance),
            lambda: 1,
            quarantine.Quarantine('h1', lambda: ['h1']),
            self.limits,
            resumption.Resumptions(versions, streams, self.directory),
            reachability.Reachability(self.directory, random.Random(1)),
            hand_over.HandOver('h1', members, cut_off, random.Random(1)),
            self.stopping,
            process_confirmations.ProcessConfirmations(
                versions, self.directory
            ),
        )

    def handle(self, message, now_ms=10):
        return self.requests.handle(message, now_ms)

    def confirm_list(self, now_ms=10):
        """Let the store answer a read of the targets that starts now."""
        self.versions.confirm(now_ms)
        return self.requests.resume_confirmed(now_ms)

    def arrive(self, now_ms=0, **fields):
        message = builders.arrived(read_ms=now_ms, **fields)
        return self.handle(message, now_ms)


def find_effect(effects_, kind):
    matching = [effect for effect in effects_ if isinstance(effect, kind)]
    return matching[0] if matching else None


def caller_status(effects_):
    """Return the reply to the caller: a status, 'target', 'cut' or None.

    'target' is a response of the target, 'cut' a closed connection.
    """
    if find_effect(effects_, effects.Answer):
        return find_effect(effects_, effects.Answer).status
    if find_effect(effects_, effects.ForwardHeldResponse):
        return 'target'
    return 'cut' if find_effect(effects_, effects.AbortResponse) else None


def call_result(name, call=1):
    results = {
        'not_run': messages.CallNotRun('r1', call, 503),
        'misdirected': messages.CallNotRun(
            'r1', call, 421, is_misdirected=True
        ),
        'not_sent': messages.CallNotSent('r1', call, 'refused'),
        'lost': messages.CallLost('r1', call, 'reset'),
        'failed': messages.CallFailed('r1', call, 500),
        'broken_before': messages.StreamBroken('r1', call, False, 'reset'),
        'broken_after': messages.StreamBroken('r1', call, True, 'reset'),
    }
    return results[name]


ROUTES = {
    'at_most_once': builders.route(Kind.AT_MOST_ONCE),
    'idempotent': builders.route(Kind.IDEMPOTENT),
    'stream': builders.route(Kind.STREAM, has_prompt=True),
    'resumable': builders.route(
        Kind.STREAM, has_prompt=True, is_resumable=True
    ),
}


@pytest.mark.parametrize(
    ('route', 'first', 'is_sent_again'),
    [
        ('at_most_once', 'not_run', True),
        ('at_most_once', 'misdirected', True),
        ('at_most_once', 'not_sent', True),
        ('at_most_once', 'lost', False),
        ('at_most_once', 'failed', False),
        ('idempotent', 'not_run', True),
        ('idempotent', 'lost', True),
        ('idempotent', 'failed', True),
        ('stream', 'not_run', True),
        ('stream', 'not_sent', True),
        ('stream', 'broken_before', False),
        ('stream', 'broken_after', False),
        ('resumable', 'broken_before', True),
        ('resumable', 'broken_after', True),
    ],
)
def test_only_requests_that_may_repeat_are_sent_again(
    route, first, is_sent_again
):
    harness = Harness(ROUTES[route])
    before = find_effect(harness.arrive(), effects.Forward)
    effects_ = harness.handle(call_result(first))
    again = find_effect(effects_, effects.Forward)
    assert bool(again) is is_sent_again
    if again:
        assert again.target.name != before.target.name


@pytest.mark.parametrize(
    ('route', 'failures', 'expected'),
    [
        ('at_most_once', ['lost'], 502),
        ('at_most_once', ['failed'], 'target'),
        ('at_most_once', ['not_run', 'not_run'], 503),
        ('at_most_once', ['not_run', 'lost'], 502),
        ('idempotent', ['failed', 'failed'], 'target'),
        ('idempotent', ['lost', 'lost'], 502),
        ('idempotent', ['lost', 'not_run'], 502),
        ('stream', ['not_run', 'not_run'], 503),
        ('stream', ['broken_before'], 502),
        ('stream', ['broken_after'], 'cut'),
        ('resumable', ['broken_after', 'broken_after'], 'cut'),
    ],
)
def test_reply_after_failures_shows_whether_the_request_may_have_run(
    route, failures, expected
):
    harness = Harness(ROUTES[route])
    harness.arrive()
    for call, failure in enumerate(failures, 1):
        if failure == 'broken_after':
            harness.handle(messages.StreamStarted('r1', call))
        effects_ = harness.handle(call_result(failure, call))
    assert caller_status(effects_) == expected
    assert not len(harness.requests)


def test_malformed_load_is_logged_once_for_a_target():
    """Guards against a log line for each response of a faulty target."""
    harness = Harness(ROUTES['at_most_once'], target_count=1)
    load = targets.parse_load('1,x,4')
    logged = []
    for name in ('r1', 'r2', 'r3'):
        harness.arrive(request_id=name)
        message = messages.ResponseCompleted(name, 1, 200, load)
        logged += harness.handle(message)
    event = events.Event.TARGET_LOAD_MALFORMED
    assert [e.event for e in logged if hasattr(e, 'event')].count(event) == 1


def test_refusal_without_a_run_has_a_retry_time():
    harness = Harness(ROUTES['at_most_once'], target_count=0)
    answer = find_effect(harness.arrive(), effects.Answer)
    assert answer.status == 503
    assert answer.retry_after_ms > 0


@pytest.mark.parametrize(
    ('is_sent', 'expected'),
    [(True, 504), (False, 503)],
    ids=['sent', 'staged'],
)
def test_expired_request_is_answered_at_once(is_sent, expected):
    stages = () if is_sent else (documents.Stage('encode'),)
    harness = Harness(builders.route(stages=stages))
    effects_ = harness.arrive(
        item_counts=() if is_sent else (2,), item_key='k'
    )
    assert bool(find_effect(effects_, effects.Forward)) is is_sent
    token = request_lifecycle.DEADLINE_TOKEN + 'r1'
    effects_ = harness.handle(shared_messages.TimerFired(token), 975)
    assert caller_status(effects_) == expected
    assert bool(find_effect(effects_, effects.CancelCall)) is is_sent


@pytest.mark.parametrize(
    ('stages', 'has_started', 'expected'),
    [
        ((), False, 502),
        ((documents.Stage('encode'),), False, 503),
        ((), True, 'cut'),
    ],
)
def test_request_open_when_the_process_ends_is_answered(
    stages, has_started, expected
):
    harness = Harness(builders.route(Kind.STREAM, stages=stages))
    harness.arrive(item_counts=(2,) if stages else (), item_key='k')
    if has_started:
        harness.handle(messages.StreamStarted('r1', 1))
    assert caller_status(harness.requests.answer_all(20)) == expected
    assert not len(harness.requests)


@pytest.mark.parametrize(
    ('is_taken_over', 'expected'), [(False, 503), (True, 421)]
)
def test_request_that_a_stopping_host_cannot_finish_is_refused(
    is_taken_over, expected
):
    harness = Harness(ROUTES['at_most_once'])
    harness.stopping.requested_ms = 0
    effects_ = harness.arrive(now_ms=6_500, is_taken_over=is_taken_over)
    assert caller_status(effects_) == expected
    assert not find_effect(effects_, effects.Forward)


def test_shorter_caller_deadline_overrides_the_timeout():
    harness = Harness(ROUTES['at_most_once'])
    forward = find_effect(harness.arrive(budget_ms=300), effects.Forward)
    assert forward.timeout_ms <= 300


def test_call_of_a_disconnected_caller_is_cancelled():
    harness = Harness(ROUTES['resumable'])
    harness.arrive()
    effects_ = harness.handle(messages.CallerDisconnected('r1'))
    assert find_effect(effects_, effects.CancelCall) == effects.CancelCall(
        'r1', 1
    )
    assert caller_status(effects_) == 'cut'


@pytest.mark.parametrize(
    ('key', 'now_ms', 'expected'),
    [
        ('good', 1_000, None),
        ('bad', 1_000, 401),
        (None, 1_000, 401),
        ('good', 4_600, 503),
        ('bad', 4_600, 503),
    ],
)
def test_keys_are_accepted_only_while_the_document_is_recent(
    key, now_ms, expected
):
    workspace = documents.Workspace('desk', ('good',))
    harness = Harness(
        ROUTES['at_most_once'], workspaces=(workspace,), revoke_ms=5_000
    )
    assert caller_status(harness.arrive(now_ms, key=key)) == expected


@pytest.mark.parametrize(
    ('path', 'expected'), [('/a/x', None), ('/b/x', 404), ('/a', 404)]
)
def test_path_without_route_is_not_found(path, expected):
    assert (
        caller_status(Harness(ROUTES['at_most_once']).arrive(path=path))
        == expected
    )


def test_host_without_document_answers_503():
    harness = Harness()
    harness.document_state.document = None
    assert caller_status(harness.arrive()) == 503


@pytest.mark.parametrize(('pause_ms', 'expected'), [(0, None), (2_000, 503)])
def test_permit_is_not_used_after_its_target_asked_for_a_pause(
    pause_ms, expected
):
    harness = Harness(builders.route(), target_count=1)
    (target,) = harness.directory.all()
    harness.limits.record_limit(target, targets.NamedLimit(10_000), 0)
    timers = harness.arrive()
    (timer,) = [
        effect
        for effect in timers
        if isinstance(effect, shared_effects.StartTimer)
        and effect.token.startswith(request_lifecycle.PERMIT_TOKEN)
    ]
    notice = targets.Notice(pause_ms=pause_ms)
    harness.directory.apply_notice(target, notice, 10)
    fired = shared_messages.TimerFired(timer.token)
    sent = harness.handle(fired, timer.due_ms)
    is_sent = find_effect(sent, effects.Forward) is not None
    assert is_sent is (expected is None)
    assert caller_status(sent) == expected


@pytest.mark.parametrize('born_ms', [0, 5])
def test_target_that_says_it_leaves_is_not_used_after_its_caller_left(born_ms):
    harness = Harness(builders.route(), target_count=1)
    sent = find_effect(harness.arrive(), effects.Forward)
    harness.handle(messages.CallerDisconnected('r1'))
    said = messages.NoticeReceived(
        attrs.evolve(sent.target, started_ms=born_ms),
        targets.Notice(is_leaving=True),
    )
    harness.handle(said)
    # What a former process said is no news of this one.
    expected = 503 if born_ms == 0 else None
    answer = harness.arrive(request_id='r2', attempt_id='a2')
    assert caller_status(answer) == expected


def test_permits_of_a_host_that_stood_still_are_not_used_at_once():
    harness = Harness(builders.route(timeout_ms=9_000), target_count=1)
    (target,) = harness.directory.all()
    harness.limits.record_limit(target, targets.NamedLimit(10_000), 0)
    timers = [
        effect
        for number in range(5)
        for effect in harness.arrive(
            request_id=f'r{number}', attempt_id=f'a{number}'
        )
        if isinstance(effect, shared_effects.StartTimer)
        and effect.token.startswith(request_lifecycle.PERMIT_TOKEN)
    ]
    assert len(timers) == 5
    late_ms = timers[-1].due_ms + permit_schedule.PERMIT_TTL_MS + 500
    sent = [
        effect
        for timer in timers
        for effect in harness.handle(
            shared_messages.TimerFired(timer.token), late_ms
        )
        if isinstance(effect, effects.Forward)
    ]
    assert len(sent) == 1


def test_retries_stay_within_the_budget():
    harness = Harness(ROUTES['idempotent'], allowance=4.0)
    retried = 0
    for number in range(40):
        name = f'r{number}'
        harness.handle(builders.arrived(name), 0)
        effects_ = harness.handle(messages.CallFailed(name, 1, 500), 5)
        retried += find_effect(effects_, effects.Forward) is not None
    assert 0 < retried <= 0.2 * 40 + 4


def test_job_ids_of_two_hosts_differ():
    route = builders.route(stages=(documents.Stage('encode'),))
    job_ids = []
    for name in ('h1', 'h2'):
        harness = Harness(route)
        harness.requests._stage_jobs._self_id = hosts.HostId(name, 'z1', 1)
        submitted = find_effect(
            harness.arrive(item_counts=(1,), item_key='k'), effects.SubmitJob
        )
        job_ids.append(submitted.job.job_id)
    assert len(set(job_ids)) == 2


def staged_harness():
    """Return a harness with a request whose first stage is submitted."""
    stages = (
        documents.Stage('encode', result_bytes=10),
        documents.Stage('encode', (0,), 10),
    )
    harness = Harness(builders.route(stages=stages))
    effects_ = harness.arrive(item_counts=(2, 1), item_key='k')
    return harness, find_effect(effects_, effects.SubmitJob).job


def ended(job, ending=Ending.DONE, handles=(), wait_ms=0):
    return bodies.JobEnded(
        job.job_id, ending, job.pool, handles, 'z1', wait_ms
    )


def test_stages_run_in_order_with_all_results_as_inputs():
    harness, first = staged_harness()
    assert (first.count, first.item_key, first.inputs) == (2, 'k', ())
    effects_ = harness.requests.job_ended(
        ended(first, handles=('a', 'b')), 300
    )
    second = find_effect(effects_, effects.SubmitJob).job
    assert (second.count, second.item_key) == (1, '')
    assert second.inputs == ('a', 'b')
    effects_ = harness.requests.job_ended(ended(second, handles=('c',)), 600)
    assert find_effect(effects_, effects.Forward).inputs == ('c',)
    assert find_effect(effects_, effects.ReleaseJobs).job_ids == (
        first.job_id,
    )


def test_stages_of_a_resumed_stream_are_not_refused_for_their_objective():
    stages = (documents.Stage('encode', (), 100),)
    host = Harness(
        builders.route(Kind.STREAM, stages=stages, is_resumable=True)
    )
    resumed = builders.arrived(
        item_counts=(1,), last_event_id='3', resumes='a0'
    )
    jobs = [
        effect.job
        for arrived in (resumed, builders.arrived('r2', item_counts=(1,)))
        for effect in (*host.handle(arrived), *host.confirm_list())
        if isinstance(effect, effects.SubmitJob)
    ]
    assert jobs[0].rank < jobs[1].rank
    assert jobs[0].due_left_ms == jobs[0].left_ms > jobs[1].due_left_ms


def test_resume_that_could_not_be_handed_over_keeps_to_its_version(
    monkeypatch,
):
    host = Harness(ROUTES['resumable'])
    requests = host.requests
    versions = frozenset({'v1', 'v2'})
    requests._resumptions._versions.set_listed('app', versions, 0)
    taker = targets.Target(builders.listed('host:h2', is_host=True))
    monkeypatch.setattr(requests._hand_over, 'choose', lambda *_: taker)
    requests._reachability.is_cut_off = True
    effects_ = host.arrive(last_event_id='3', resumes='a0')
    assert find_effect(effects_, effects.Forward).target.is_host
    requests._reachability.is_cut_off = False
    effects_ = host.handle(call_result('not_sent'))
    assert find_effect(effects_, effects.Forward) is None
    assert caller_status(effects_) == 503


def test_request_that_a_host_returns_is_handed_to_another(monkeypatch):
    host = Harness(builders.route(Kind.AT_MOST_ONCE, max_targets=1))
    requests = host.requests
    takers = [
        targets.Target(builders.listed(f'host:h{n}', is_host=True))
        for n in (2, 3)
    ]
    monkeypatch.setattr(
        requests._hand_over, 'choose', lambda *_: takers.pop(0)
    )
    requests._reachability.is_cut_off = True
    host.arrive()
    effects_ = host.handle(messages.CallNotRun('r1', 1, 421))
    forward = find_effect(effects_, effects.Forward)
    assert forward.target.name == 'host:h3'


@pytest.mark.parametrize(
    ('result', 'is_asked'),
    [
        ('not_sent', True),
        ('lost', True),
        ('broken_before', True),
        ('failed', False),
        ('not_run', False),
    ],
)
def test_call_without_a_response_makes_the_host_ask_targets(result, is_asked):
    host = Harness(ROUTES['resumable'])
    host.arrive(1_000)
    effects_ = host.handle(call_result(result), 1_010)
    assert bool(find_effect(effects_, effects.ProbeTarget)) is is_asked


def test_requests_do_not_wait_for_a_probe_without_a_result():
    host = Harness(ROUTES['idempotent'])
    reachability_ = host.requests._reachability
    reachability_.record_unreachable(1_000)
    assert reachability_.is_doubtful
    reachability_.check(None, 3_000)
    assert not reachability_.is_doubtful


def test_duplicate_result_is_ignored():
    harness, first = staged_harness()
    harness.requests.job_ended(ended(first, handles=('a', 'b')), 300)
    assert not harness.requests.job_ended(
        ended(first, handles=('a', 'b')), 301
    )


@pytest.mark.parametrize(
    ('ending', 'expected'),
    [
        (Ending.REFUSED, 503),
        (Ending.LATE, 503),
        (Ending.FAILED, 503),
        (Ending.MOVED, None),
        (Ending.INPUT_GONE, None),
    ],
)
def test_job_that_ended_without_result(ending, expected):
    harness, first = staged_harness()
    effects_ = harness.requests.job_ended(
        ended(first, ending, wait_ms=700), 300
    )
    assert caller_status(effects_) == expected
    if expected:
        assert find_effect(effects_, effects.Answer).retry_after_ms == 700
    else:
        assert (
            find_effect(effects_, effects.SubmitJob).job.job_id != first.job_id
        )


@pytest.mark.parametrize(
    ('result_bytes', 'is_freed_early'), [(60_000, True), (1_000, False)]
)
def test_large_inputs_are_freed_once_they_are_fetched(
    result_bytes, is_freed_early
):
    stages = (
        documents.Stage('encode', result_bytes=result_bytes),
        documents.Stage('encode', (0,), 10),
    )
    harness = Harness(builders.route(stages=stages))
    effects_ = harness.arrive(item_counts=(2, 1), item_key='k')
    first = find_effect(effects_, effects.SubmitJob).job
    effects_ = harness.requests.job_ended(
        ended(first, handles=('a', 'b')), 300
    )
    second = find_effect(effects_, effects.SubmitJob).job
    timer = find_effect(
        harness.requests.job_started(second.job_id, 310),
        shared_effects.StartTimer,
    )
    assert bool(timer) is is_freed_early
    if timer:
        fired = shared_messages.TimerFired(timer.token)
        released = find_effect(
            harness.handle(fired, timer.due_ms), effects.ReleaseJobs
        )
        assert released.job_ids == (first.job_id,)
        assert timer.due_ms >= 310 + stage_jobs.INPUT_FETCH_MS


@pytest.mark.parametrize(
    ('result_bytes', 'is_near'), [(1_500_000, True), (1_000, False)]
)
def test_small_results_do_not_restrict_the_choice_of_an_engine(
    result_bytes, is_near
):
    stages = (documents.Stage('encode', result_bytes=result_bytes),)
    route = builders.route(Kind.STREAM, has_prompt=True, stages=stages)
    harness = Harness(route, target_count=0)
    engines = [builders.listed(f'e{n}', 'app', f'z{n % 3}') for n in range(9)]
    harness.directory.replace(engines, 2, 0)
    zones = set()
    for number in range(30):
        prompt = (
            messages.PromptPart(f'shared{number}', 100),
            messages.PromptPart('own', 100),
        )
        effects_ = harness.arrive(
            request_id=f'r{number}',
            item_counts=(1,),
            item_key='k',
            prompt=prompt,
        )
        job = find_effect(effects_, effects.SubmitJob).job
        effects_ = harness.requests.job_ended(ended(job, handles=('a',)), 300)
        zones.add(find_effect(effects_, effects.Forward).target.zone)
    assert (zones == {'z1'}) is is_near


def test_stream_in_doubt_goes_on_once_the_list_names_one_version():
    host = Harness(ROUTES['resumable'])
    for name in ('t0', 't1', 't2'):
        host.directory.find(name).listed = builders.listed(
            name, 'app', version='v1'
        )
    host.versions.set_listed('app', frozenset({'v1'}), -60_000)
    doubtful = stream_versions.Begun('app', '')
    resumed = builders.arrived(last_event_id='3', resumes='a0')
    key = xxhash.xxh3_64_hexdigest(b'\ndesk.example\n/a/x\na0')
    host.streams.record_begun(key, doubtful, 't0', 'r0', 0)
    effects_ = (*host.handle(resumed), *host.confirm_list())
    assert find_effect(effects_, effects.Forward) is not None
