"""Surveys: every host asked once, none waited for beyond the bound."""

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
    part = membership.Membership(SELF, 'h0:1', random.Random(1))
    for number in range(1, count + 1):
        host = hosts.HostId(f'h{number}', 'a', 1)
        record = bodies.MemberRecord(host, f'h{number}:1')
        part.table.merge(record, 0)
    report = bodies.StatusGiven(SELF, 9, True)
    return part, survey.Survey(part, lambda: report)


def run(part, found, answers, now_ms=10):
    """Answer each question as told; return who was asked and the end."""
    asked, ended, most = [], [], 0
    pending = list(found)
    while pending:
        sends = [e for e in pending if isinstance(e, effects.SendPeer)]
        most = max(most, len(sends))
        effect = pending.pop(0)
        if isinstance(effect, effects.Deliver):
            ended.append(effect.message)
        if not isinstance(effect, effects.SendPeer):
            continue
        asked.append(effect.address)
        body = answers.get(effect.address)
        pending += part.handle(messages.PeerReply(effect.token, body), now_ms)
    return asked, ended, most


def given(name, sequence, incarnation=1, refused=()):
    host = hosts.HostId(name, 'a', incarnation)
    return bodies.StatusGiven(host, sequence, True, refused)


def known(part):
    return {
        member.host.name: (member.sequence, member.refused)
        for member in part.all_members()
        if member.host.name != SELF.name
    }


def test_all_hosts_are_asked_a_few_at_a_time():
    part, survey_ = make_survey(20)
    answers = {f'h{n}:1': given(f'h{n}', n) for n in range(1, 21)}
    asked, ended, most = run(survey_, survey_.ask('q', 0, 0), answers)
    assert sorted(asked) == sorted(answers)
    assert ended == [survey.SurveyEnded('q')]
    assert most <= survey.WINDOW
    assert known(part) == {f'h{n}': (n, ()) for n in range(1, 21)}


def test_hosts_known_to_be_far_enough_are_not_asked():
    part, survey_ = make_survey(3)
    part.table.hear(hosts.HostId('h2', 'a', 1), 7, 5)
    asked, _, _ = run(survey_, survey_.ask('q', 7, 0), {})
    assert sorted(asked) == ['h1:1', 'h3:1']


@pytest.mark.parametrize(
    'answer, expected',
    [
        (None, (4, ())),
        (given('h1', 3), (4, ())),
        (given('h1', 6, refused=('papers',)), (6, ('papers',))),
        (given('h1', 1, incarnation=2), (1, ())),
        (given('h9', 99), (4, ())),
    ],
    ids=['silent', 'late answer', 'ahead', 'restarted', 'other host'],
)
def test_only_the_host_itself_says_what_it_holds(answer, expected):
    part, survey_ = make_survey(1)
    part.table.hear(hosts.HostId('h1', 'a', 1), 4, 5)
    run(survey_, survey_.ask('q', 0, 0), {'h1:1': answer})
    assert known(part)['h1'] == expected


def test_survey_ends_in_time_when_no_host_answers():
    _, survey_ = make_survey(20)
    found = survey_.ask('q', 0, 100)
    timer = next(e for e in found if isinstance(e, effects.StartTimer))
    assert timer.due_ms == 100 + survey.SURVEY_TIMEOUT_MS
    fired = survey_.handle(messages.TimerFired(timer.token), timer.due_ms)
    assert fired == [effects.Deliver(survey.SurveyEnded('q'))]
    late = next(e for e in found if isinstance(e, effects.SendPeer))
    reply = messages.PeerReply(late.token, None)
    assert survey_.handle(reply, timer.due_ms + 1) == []


def test_a_host_answers_the_surveys_of_others():
    _, survey_ = make_survey(0)
    sender = hosts.HostId('h1', 'a', 1)
    message = messages.PeerMessage(sender, bodies.StatusAsked(), 'r')
    assert survey_.handle(message, 0) == [
        effects.ReplyPeer('r', bodies.StatusGiven(SELF, 9, True))
    ]
