"""What a caller is told, for each way in which its request can end."""

import random

import pytest

from godwitglade.coordination import effects as shared_effects
from godwitglade.coordination import hosts
from godwitglade.coordination import messages as shared_messages
from godwitglade.routing import bodies
from godwitglade.routing import budget
from godwitglade.routing import documents
from godwitglade.routing import effects
from godwitglade.routing import knowledge
from godwitglade.routing import messages
from godwitglade.routing import requests
from godwitglade.routing import staging
from godwitglade.routing import targets
from tests.routing import builders

Kind = documents.RequestKind
Ending = bodies.Ending
SELF = hosts.HostId('h1', 'z1', 1)


class Rig:
    """The requests of one host, with a document and some targets."""

    def __init__(self, *routes, target_count=3, allowance=50.0, **fields):
        self.known = knowledge.Knowledge(fields.pop('revoke_ms', None))
        pools = (
            documents.Pool('app'),
            documents.Pool('encode', batching=builders.traits()),
        )
        found = builders.document(*routes, pools=pools, **fields)
        self.known.take(found, 0)
        self.directory = targets.Directory()
        listed = [builders.listed(f't{n}', 'app') for n in range(target_count)]
        self.directory.replace(listed, 1, 0)
        self.requests = requests.Requests(
            SELF,
            self.known,
            self.directory,
            random.Random(1),
            budget.Bounds(allowance=allowance),
            lambda: 1,
        )

    def handle(self, message, now_ms=10):
        return self.requests.handle(message, now_ms)

    def arrive(self, now_ms=0, **fields):
        message = builders.arrived(read_ms=now_ms, **fields)
        return self.handle(message, now_ms)


def one(found, kind):
    matching = [effect for effect in found if isinstance(effect, kind)]
    return matching[0] if matching else None


def status(found):
    """Return what the caller is told: a status, 'target', 'cut' or None."""
    if one(found, effects.Answer):
        return one(found, effects.Answer).status
    if one(found, effects.RelayHeld):
        return 'target'
    return 'cut' if one(found, effects.Abort) else None


def outcome(name, call=1):
    made = {
        'not_run': messages.NotRun('r1', call, 503),
        'misdirected': messages.NotRun('r1', call, 421, is_misdirected=True),
        'not_sent': messages.NotSent('r1', call, 'refused'),
        'lost': messages.Lost('r1', call, 'reset'),
        'failed': messages.Failed('r1', call, 500),
        'broken_before': messages.Broken('r1', call, False, 'reset'),
        'broken_after': messages.Broken('r1', call, True, 'reset'),
    }
    return made[name]


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
def test_only_what_may_be_repeated_is_sent_again(route, first, is_sent_again):
    rig = Rig(ROUTES[route])
    before = one(rig.arrive(), effects.Forward)
    found = rig.handle(outcome(first))
    again = one(found, effects.Forward)
    assert bool(again) is is_sent_again
    if again:
        assert again.target.name != before.target.name


@pytest.mark.parametrize(
    ('route', 'ways', 'told'),
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
def test_last_failure_tells_the_truth_about_having_run(route, ways, told):
    rig = Rig(ROUTES[route])
    rig.arrive()
    for call, way in enumerate(ways, 1):
        if way == 'broken_after':
            rig.handle(messages.StreamBegun('r1', call))
        found = rig.handle(outcome(way, call))
    assert status(found) == told
    assert not len(rig.requests)


def test_refusal_that_ran_nothing_tells_when_to_come_back():
    rig = Rig(ROUTES['at_most_once'], target_count=0)
    answer = one(rig.arrive(), effects.Answer)
    assert answer.status == 503
    assert answer.retry_after_ms > 0


@pytest.mark.parametrize(
    ('is_sent', 'told'), [(True, 504), (False, 503)], ids=['sent', 'staged']
)
def test_deadline_is_told_at_once(is_sent, told):
    stages = () if is_sent else (documents.Stage('encode'),)
    rig = Rig(builders.route(stages=stages))
    found = rig.arrive(item_counts=() if is_sent else (2,), item_key='k')
    assert bool(one(found, effects.Forward)) is is_sent
    token = requests.DEADLINE_TOKEN + 'r1'
    found = rig.handle(shared_messages.TimerFired(token), 975)
    assert status(found) == told
    assert bool(one(found, effects.CancelCall)) is is_sent


def test_callers_deadline_goes_before_a_longer_timeout():
    rig = Rig(ROUTES['at_most_once'])
    forward = one(rig.arrive(budget_ms=300), effects.Forward)
    assert forward.timeout_ms <= 300


def test_caller_that_left_has_its_call_cancelled():
    rig = Rig(ROUTES['resumable'])
    rig.arrive()
    found = rig.handle(messages.CallerLeft('r1'))
    assert one(found, effects.CancelCall) == effects.CancelCall('r1', 1)
    assert status(found) == 'cut'


@pytest.mark.parametrize(
    ('key', 'now_ms', 'told'),
    [
        ('good', 1_000, None),
        ('bad', 1_000, 401),
        (None, 1_000, 401),
        ('good', 4_600, 503),
        ('bad', 4_600, 503),
    ],
)
def test_keys_pass_only_while_the_document_is_young(key, now_ms, told):
    workspace = documents.Workspace('desk', ('good',))
    rig = Rig(ROUTES['at_most_once'], workspaces=(workspace,), revoke_ms=5_000)
    assert status(rig.arrive(now_ms, key=key)) == told


@pytest.mark.parametrize(
    ('path', 'told'), [('/a/x', None), ('/b/x', 404), ('/a', 404)]
)
def test_path_without_route_is_not_found(path, told):
    assert status(Rig(ROUTES['at_most_once']).arrive(path=path)) == told


def test_host_without_document_asks_to_come_back():
    rig = Rig()
    rig.known.document = None
    assert status(rig.arrive()) == 503


def test_repeats_keep_to_the_budget():
    rig = Rig(ROUTES['idempotent'], allowance=4.0)
    repeated = 0
    for number in range(40):
        name = f'r{number}'
        rig.handle(builders.arrived(name), 0)
        found = rig.handle(messages.Failed(name, 1, 500), 5)
        repeated += one(found, effects.Forward) is not None
    assert 0 < repeated <= 0.2 * 40 + 4


def test_job_ids_of_two_hosts_differ():
    route = builders.route(stages=(documents.Stage('encode'),))
    found = []
    for name in ('h1', 'h2'):
        rig = Rig(route)
        rig.requests._staging._self_id = hosts.HostId(name, 'z1', 1)
        submitted = one(
            rig.arrive(item_counts=(1,), item_key='k'), effects.SubmitJob
        )
        found.append(submitted.job.job_id)
    assert len(set(found)) == 2


def staged_rig():
    """Return a rig with a request whose first stage is submitted."""
    stages = (
        documents.Stage('encode', result_bytes=10),
        documents.Stage('encode', (0,), 10),
    )
    rig = Rig(builders.route(stages=stages))
    found = rig.arrive(item_counts=(2, 1), item_key='k')
    return rig, one(found, effects.SubmitJob).job


def ended(job, ending=Ending.DONE, handles=(), wait_ms=0):
    return bodies.JobEnded(
        job.job_id, ending, job.pool, handles, 'z1', wait_ms
    )


def test_stages_run_in_order_with_all_results_as_inputs():
    rig, first = staged_rig()
    assert (first.count, first.item_key, first.inputs) == (2, 'k', ())
    found = rig.requests.job_ended(ended(first, handles=('a', 'b')), 300)
    second = one(found, effects.SubmitJob).job
    assert (second.count, second.item_key) == (1, '')
    assert second.inputs == ('a', 'b')
    found = rig.requests.job_ended(ended(second, handles=('c',)), 600)
    assert one(found, effects.Forward).inputs == ('c',)
    assert one(found, effects.ReleaseJobs).job_ids == (first.job_id,)


def test_result_told_twice_is_taken_once():
    rig, first = staged_rig()
    rig.requests.job_ended(ended(first, handles=('a', 'b')), 300)
    assert not rig.requests.job_ended(ended(first, handles=('a', 'b')), 301)


@pytest.mark.parametrize(
    ('ending', 'told'),
    [
        (Ending.REFUSED, 503),
        (Ending.LATE, 503),
        (Ending.FAILED, 503),
        (Ending.MOVED, None),
        (Ending.INPUT_GONE, None),
    ],
)
def test_job_that_ended_badly(ending, told):
    rig, first = staged_rig()
    found = rig.requests.job_ended(ended(first, ending, wait_ms=700), 300)
    assert status(found) == told
    if told:
        assert one(found, effects.Answer).retry_after_ms == 700
    else:
        assert one(found, effects.SubmitJob).job.job_id != first.job_id


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
    rig = Rig(builders.route(stages=stages))
    found = rig.arrive(item_counts=(2, 1), item_key='k')
    first = one(found, effects.SubmitJob).job
    found = rig.requests.job_ended(ended(first, handles=('a', 'b')), 300)
    second = one(found, effects.SubmitJob).job
    timer = one(
        rig.requests.job_begun(second.job_id, 310),
        shared_effects.StartTimer,
    )
    assert bool(timer) is is_freed_early
    if timer:
        fired = shared_messages.TimerFired(timer.token)
        released = one(rig.handle(fired, timer.due_ms), effects.ReleaseJobs)
        assert released.job_ids == (first.job_id,)
        assert timer.due_ms >= 310 + staging.FETCH_MS


@pytest.mark.parametrize(
    ('result_bytes', 'is_near'), [(1_500_000, True), (1_000, False)]
)
def test_light_results_do_not_bind_the_choice_of_an_engine(
    result_bytes, is_near
):
    stages = (documents.Stage('encode', result_bytes=result_bytes),)
    route = builders.route(Kind.STREAM, has_prompt=True, stages=stages)
    rig = Rig(route, target_count=0)
    engines = [builders.listed(f'e{n}', 'app', f'z{n % 3}') for n in range(9)]
    rig.directory.replace(engines, 2, 0)
    zones = set()
    for number in range(30):
        prompt = (
            messages.PromptPart(f'shared{number}', 100),
            messages.PromptPart('own', 100),
        )
        found = rig.arrive(
            request_id=f'r{number}',
            item_counts=(1,),
            item_key='k',
            prompt=prompt,
        )
        job = one(found, effects.SubmitJob).job
        found = rig.requests.job_ended(ended(job, handles=('a',)), 300)
        zones.add(one(found, effects.Forward).target.zone)
    assert (zones == {'z1'}) is is_near
