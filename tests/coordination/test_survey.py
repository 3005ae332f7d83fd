"""Tests that surveys query every host once and end in bounded time."""

import random

import pytest

from godwitglade.coordination import bodies
from godwitglade.coordination import effects
from godwitglade.coordination import hosts
from godwitglade.coordination import membership
from godwitglade.coordination import messages
from godwitglade.coordination import survey

SELF = hosts.HostId('h0', 'a', 1)


def make_survey(count):
    membership_ = membership.Membership(SELF, 'h0:1', random.Random(1))
    for number in range(1, count + 1):
        host = hosts.HostId(f'h{number}', 'a', 1)
        record = bodies.MemberRecord(host, f'h{number}:1')
        membership_.table.merge(record, 0)
    report = bodies.StatusReply(SELF, 9, True)
    return membership_, survey.Survey(membership_, lambda: report)


def run_survey(survey_, new_effects, replies, now_ms=10):
    """Reply to each query from ``replies``.

    Return the addresses queried, the messages delivered and the largest
    number of concurrent queries.
    """
    queried, delivered, max_concurrent = [], [], 0
    pending = list(new_effects)
    while pending:
        sends = [e for e in pending if isinstance(e, effects.SendPeer)]
        max_concurrent = max(max_concurrent, len(sends))
        effect = pending.pop(0)
        if isinstance(effect, effects.Deliver):
            delivered.append(effect.message)
        if not isinstance(effect, effects.SendPeer):
            continue
        queried.append(effect.address)
        body = replies.get(effect.address)
        pending += survey_.handle(
            messages.PeerReply(effect.token, body), now_ms
        )
    return queried, delivered, max_concurrent


def make_status(name, sequence, incarnation=1, refused=()):
    host = hosts.HostId(name, 'a', incarnation)
    return bodies.StatusReply(host, sequence, True, refused)


def reported_states(membership_):
    return {
        member.host.name: (member.sequence, member.refused)
        for member in membership_.all_members()
        if member.host.name != SELF.name
    }


def test_all_hosts_are_queried_a_few_at_a_time():
    membership_, survey_ = make_survey(20)
    replies = {f'h{n}:1': make_status(f'h{n}', n) for n in range(1, 21)}
    queried, delivered, max_concurrent = run_survey(
        survey_, survey_.ask('q', 0, 0), replies
    )
    assert sorted(queried) == sorted(replies)
    assert delivered == [survey.SurveyEnded('q')]
    assert max_concurrent <= survey.MAX_CONCURRENT_QUERIES
    assert reported_states(membership_) == {
        f'h{n}': (n, ()) for n in range(1, 21)
    }


def test_hosts_known_to_be_up_to_date_are_not_queried():
    membership_, survey_ = make_survey(3)
    membership_.table.record_report(hosts.HostId('h2', 'a', 1), 7, 5)
    queried, _, _ = run_survey(survey_, survey_.ask('q', 7, 0), {})
    assert sorted(queried) == ['h1:1', 'h3:1']


@pytest.mark.parametrize(
    'reported, expected',
    [
        (None, (4, ())),
        (make_status('h1', 3), (4, ())),
        (make_status('h1', 6, refused=('papers',)), (6, ('papers',))),
        (make_status('h1', 1, incarnation=2), (1, ())),
        (make_status('h9', 99), (4, ())),
    ],
    ids=['silent', 'stale reply', 'ahead', 'restarted', 'other host'],
)
def test_only_the_host_itself_reports_its_status(reported, expected):
    membership_, survey_ = make_survey(1)
    membership_.table.record_report(hosts.HostId('h1', 'a', 1), 4, 5)
    run_survey(survey_, survey_.ask('q', 0, 0), {'h1:1': reported})
    assert reported_states(membership_)['h1'] == expected


def test_survey_ends_in_time_when_no_host_replies():
    _, survey_ = make_survey(20)
    new_effects = survey_.ask('q', 0, 100)
    timer = next(e for e in new_effects if isinstance(e, effects.StartTimer))
    assert timer.due_ms == 100 + survey.SURVEY_TIMEOUT_MS
    fired = survey_.handle(messages.TimerFired(timer.token), timer.due_ms)
    assert fired == [effects.Deliver(survey.SurveyEnded('q'))]
    late = next(e for e in new_effects if isinstance(e, effects.SendPeer))
    reply = messages.PeerReply(late.token, None)
    assert survey_.handle(reply, timer.due_ms + 1) == []


def test_host_replies_to_surveys_of_others():
    _, survey_ = make_survey(0)
    sender = hosts.HostId('h1', 'a', 1)
    message = messages.PeerMessage(sender, bodies.StatusRequest(), 'r')
    assert survey_.handle(message, 0) == [
        effects.ReplyPeer('r', bodies.StatusReply(SELF, 9, True))
    ]
