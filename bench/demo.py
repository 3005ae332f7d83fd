"""Demonstrates the complete system in under a minute: ``make demo``.

Three entry daemons in two data centres serve both example deployments, with
stand-ins as back ends. Targets are killed meanwhile. The exit status is 1 if
a guarantee was broken.
"""

import collections
import concurrent.futures
import os
import pathlib
import subprocess
import sys
import tempfile
import threading
import time
import typing

from bench import demo_report
from bench import deployment as deployments

EXAMPLES = pathlib.Path(__file__).parent.parent / 'examples'
#: Data centres of the entry daemons by daemon name.
ENTRIES = {'entry-1': 'north-a', 'entry-2': 'north-a', 'entry-3': 'north-b'}
#: The kind of stand-in and the number of targets of each pool.
POOLS = {
    'encoders': ('pool', 2),
    'document-store': ('pool', 2),
    'rerankers': ('pool', 2),
    'language-models': ('engine', 3),
    'onboarding-application': ('pool', 2),
    'agency-desk': ('pool', 2),
    'notifications': ('pool', 2),
    'footage-ingest': ('pool', 2),
    'event-tagger': ('pool', 2),
    'review-models': ('engine', 2),
    'squad-records': ('pool', 2),
    'coach-portal': ('pool', 2),
}
ENGINE_OPTIONS = {'pieces': 60, 'pace_ms': 10}
#: The workspace that sends requests to each pipeline.
PIPELINES = {
    'licence-check': 'rabat-desk',
    'contract-explanation': 'driver-app',
    'vehicle-papers': 'casablanca-desk',
    'clip-notes': 'schools',
    'match-review': 'valley-clubs',
    'passage-answer': 'north-league',
}
ROUNDS = 10
CONCURRENCY = 12


def main() -> int:
    """Run the demo; return the exit status."""
    started_s = time.monotonic()
    report = demo_report.Report()
    with tempfile.TemporaryDirectory() as directory:
        deployment = deployments.Deployment(pathlib.Path(directory))
        try:
            run(deployment, report)
        finally:
            deployment.close()
    title('Verdict')
    print(f'  {len(report.broken)} guarantees broken')
    print(f'  {time.monotonic() - started_s:.0f} s in total')
    return 1 if report.broken else 0


def run(
    deployment: deployments.Deployment, report: demo_report.Report
) -> None:
    """Run every section of the demo."""
    start(deployment)
    apply_documents(deployment, report)
    send_one_to_each(deployment, report)
    stream_through_crash(deployment, report)
    repeat_activation(deployment, report)
    repeat_squad_update(deployment, report)
    send_load_through_crash(deployment, report)
    show_state(deployment, report)
    title('Attainment and cost by stage')
    report.show_measures()


def title(text: str) -> None:
    """Print a section's heading."""
    print(f'\n== {text}')


def start(deployment: deployments.Deployment) -> None:
    """Start the stand-ins and daemons."""
    title('Starting')
    zones = sorted(set(ENTRIES.values()))
    for pool, (kind, count) in POOLS.items():
        options = ENGINE_OPTIONS if kind == 'engine' else {}
        for number in range(count):
            zone = zones[number % len(zones)]
            name = f'{pool}-{number + 1}'
            deployment.add_target(name, pool, zone, kind, **options)
    for name, zone in ENTRIES.items():
        deployment.add_entry(name, zone)
    deployment.publish()
    deployment.await_ready()
    print(f'  platform: table, objects, host list; {len(POOLS)} pools with')
    print(f'  {len(deployment.targets)} targets; entry daemons:')
    for entry in deployment.entries.values():
        print(f'  {entry.name} in {entry.zone}, callers at {entry.callers}')


def command(
    deployment: deployments.Deployment, owner: str, *arguments: str
) -> subprocess.CompletedProcess:
    """Run the command as ``owner`` and print its output."""
    print(f'  $ godwitglade {" ".join(arguments[:2])} ...')
    entry = next(iter(deployment.entries.values()))
    environment = {
        **os.environ,
        'GODWITGLADE_URL': f'http://{entry.operators}',
        'GODWITGLADE_TOKEN': deployments.TOKENS[owner][0],
    }
    result = subprocess.run(
        [sys.executable, '-m', 'godwitglade.command', *arguments],
        env=environment,
        capture_output=True,
        text=True,
        timeout=60,
    )
    for line in (result.stdout + result.stderr).splitlines():
        print(f'    {line}')
    return result


def apply_documents(
    deployment: deployments.Deployment, report: demo_report.Report
) -> None:
    """Apply the documents of both teams."""
    title('Applying the documents of both teams')
    for owner, team in (('amina', 'onboarding'), ('tomas', 'touchline')):
        paths = sorted(map(str, (EXAMPLES / team).glob('*.yaml')))
        result = command(deployment, owner, 'apply', '--wait', *paths)
        guarantee = f'the documents of {team} are in force on every host'
        report.check(guarantee, result.returncode == 0)


def entry_for(
    deployment: deployments.Deployment, number: int
) -> deployments.Entry:
    """Return an entry daemon in round-robin order."""
    entries = list(deployment.entries.values())
    return entries[number % len(entries)]


def send_request(
    deployment: deployments.Deployment,
    report: demo_report.Report,
    pipeline: str,
    number: int,
) -> deployments.Answer:
    """Send a request with a unique identity."""
    identity = f'{pipeline}/{number}'
    entry = entry_for(deployment, number)
    answer = entry.request(
        pipeline,
        PIPELINES[pipeline],
        {'identity': identity, 'prompt': f'explain {identity}'},
        key=identity,
    )
    report.add(pipeline, answer)
    return answer


def send_one_to_each(
    deployment: deployments.Deployment, report: demo_report.Report
) -> None:
    """Send one request to each pipeline."""
    title('One request to each pipeline')
    for number, pipeline in enumerate(PIPELINES):
        answer = send_request(deployment, report, pipeline, number)
        stages = answer.fields.get('stages', [])
        path = ' > '.join(
            f'{stage["stage"]} {stage["elapsed_ms"]} ms' for stage in stages
        )
        print(f'  {pipeline}: {answer.outcome}, {path}')
        report.check('the response is complete', answer.outcome == 'answered')


def stream_through_crash(
    deployment: deployments.Deployment, report: demo_report.Report
) -> None:
    """Stream an explanation and kill the engine that generates it."""
    title('A streamed explanation; its engine is killed midway')
    payload = {'identity': 'driver-9', 'prompt': 'explain my contract'}
    killed: list[str] = []

    def kill_engine(piece: dict[str, typing.Any]) -> None:
        print(piece['text'], end='', flush=True)
        if piece['offset'] > 80 and not killed:
            killed.append(kill_busiest(deployment, 'language-models'))
            print(f'[{killed[0]} killed] ', end='', flush=True)

    print('  ', end='')
    answer = entry_for(deployment, 0).stream(
        'contract-explanation', 'driver-app', payload, kill_engine
    )
    print()
    report.add('contract-explanation', answer)
    length = 0
    for piece in answer.pieces:
        has_gap = piece['offset'] != length
        length = piece['offset'] + len(piece['text'])
        if has_gap:
            report.check('the stream has no gap and no repetition', False)
    results = answer.fields.get('results') or {}
    is_complete = results.get('explanation') == {'text': answer.text}
    report.check(
        'the stream is complete', is_complete, f'({length} characters)'
    )


def kill_busiest(deployment: deployments.Deployment, pool: str) -> str:
    """Kill the busiest running target of a pool; return its name."""
    members = [
        target
        for target in deployment.targets.values()
        if target.pool == pool and target.process.is_running
    ]
    loads = [member.process.get('/v1/load') for member in members]
    busiest = max(zip(loads, members), key=lambda pair: pair[0]['running'])[1]
    busiest.process.kill()
    return busiest.name


def send_repeatedly(
    deployment: deployments.Deployment, pipeline: str, workspace: str, key: str
) -> list[deployments.Answer]:
    """Send a request with one key through every host at once, then again."""
    payload = {'identity': key}

    def send(number: int) -> deployments.Answer:
        entry = entry_for(deployment, number)
        return entry.request(pipeline, workspace, payload, key=key)

    with concurrent.futures.ThreadPoolExecutor(len(ENTRIES)) as pool:
        answers = list(pool.map(send, range(len(ENTRIES))))
    return [*answers, send(0)]


def repeat_activation(
    deployment: deployments.Deployment, report: demo_report.Report
) -> None:
    """Send the same account activation four times with one key."""
    title('One activation sent four times, through every host')
    key = 'driver-42'
    answers = send_repeatedly(
        deployment, 'account-activation', 'rabat-desk', key
    )
    print('  outcomes: ' + ', '.join(answer.outcome for answer in answers))
    runs = demo_report.runs_of(
        deployment, 'onboarding-application', 'activation', key
    )
    report.check('the account was activated once', runs == 1, f'({runs})')
    last = answers[-1].outcome
    report.check(
        'a resent request gets the answer', last == 'answered', f'({last})'
    )


def repeat_squad_update(
    deployment: deployments.Deployment, report: demo_report.Report
) -> None:
    """Send the same squad-sheet update four times with one key."""
    title('One squad-sheet update sent four times, through every host')
    key = 'match-7-sheet'
    answers = send_repeatedly(deployment, 'squad-update', 'schools', key)
    print('  outcomes: ' + ', '.join(answer.outcome for answer in answers))
    runs = demo_report.runs_of(deployment, 'squad-records', 'update', key)
    report.check('the sheet was updated once', runs == 1, f'({runs})')


def send_load_through_crash(
    deployment: deployments.Deployment, report: demo_report.Report
) -> None:
    """Send requests to every pipeline and kill a target meanwhile."""
    title('Load on both deployments; one encoder is killed meanwhile')
    jobs = [
        (pipeline, 100 + number)
        for number in range(ROUNDS)
        for pipeline in PIPELINES
    ]
    victim = deployment.targets['encoders-1']
    timer = threading.Timer(1, victim.process.kill)
    timer.start()
    with concurrent.futures.ThreadPoolExecutor(CONCURRENCY) as pool:
        answers = list(
            pool.map(lambda job: send_request(deployment, report, *job), jobs)
        )
    timer.join()
    answered = sum(answer.outcome == 'answered' for answer in answers)
    print(f'  {answered} of {len(answers)} answered, {victim.name} killed')
    others = collections.Counter(
        f'{answer.outcome} ({answer.fields.get("reason")})'
        for answer in answers
        if answer.outcome != 'answered'
    )
    for name, count in others.items():
        print(f'  {count} {name}')
    have_own_results = [
        demo_report.has_own_identity(answer, f'{pipeline}/{number}')
        for (pipeline, number), answer in zip(jobs, answers)
    ]
    report.check('every answer belongs to its request', all(have_own_results))
    run_identities = {
        run['identity'] for pool in POOLS for run in deployment.runs(pool)
    }
    refused = [
        f'{pipeline}/{number}'
        for (pipeline, number), answer in zip(jobs, answers)
        if answer.outcome == 'refused_not_run'
    ]
    report.check(
        'refused requests were not run', run_identities.isdisjoint(refused)
    )


def show_state(
    deployment: deployments.Deployment, report: demo_report.Report
) -> None:
    """Print the versions in force per host and the audit trail."""
    title('Versions in force per host, as the monitor sees them')
    result = command(deployment, 'watch', 'status')
    report.check('the status lists every host', result.returncode == 0)
    title('Audit trail')
    command(deployment, 'watch', 'audit')
    result = command(deployment, 'watch', 'audit', '--verify')
    report.check('the audit trail is intact', result.returncode == 0)


if __name__ == '__main__':
    sys.exit(main())
