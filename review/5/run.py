"""Streams that consumers take up again after all processes were killed."""

import asyncio
import pathlib
import random
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import harness  # noqa: E402

#: Nine machines of the sheet, and the spare ones.
MACHINES = 12
ROUNDS = 3
RESTART_S = 0.5
CONTACT_S = harness.BOUNDS['contactMs'] / 1_000
#: The sheet of touchline-ops: full-match-review has 10 events and a deadline
#: of 8 s, an event holds 5 tokens, and a step takes 3.9 ms and more.
EVENTS = 10
EVENT_S = 5 * 0.0039
STREAMS_PER_S = 80
DEADLINE_MS = 8_000
#: Time after the kill at which consumers take their streams up.
PAUSE_S = 5.5
#: The rule counts 12 streams or more.
LEAST = 12


def event(number):
    return b'id: %d\ndata: piece %d\n\n' % (number, number)


class Engine(harness.Worker):
    """A worker of one of two versions; goes on after Last-Event-Id."""

    async def run(self, request, writer):
        fields = self.headers(request, Content_Type='text/event-stream')
        fields['Transfer-Encoding'] = 'chunked'
        writer.write(harness.head(200, fields))
        first = int(request.headers.get('last-event-id') or 0) + 1
        for number in range(first, EVENTS + 1):
            await asyncio.sleep(EVENT_S)
            writer.write(harness.chunk(event(number)))
            await writer.drain()
        writer.write(b'0\r\n\r\n')
        await writer.drain()
        return True


class Tally:
    def __init__(self):
        self.broken_off = []
        self.new = self.new_begun = 0
        self.resumed = self.gone_on = 0


async def consume(deployment, tally, is_counted, cut):
    """Send a new stream; note it if its channel breaks in the middle."""
    daemon = random.choice(deployment.daemons)
    attempt_id = harness.new_id()
    deployment.record('sent', id=attempt_id, to=daemon.name)
    task = asyncio.create_task(
        harness.send(
            daemon.address,
            '/review/x',
            attempt_id=attempt_id,
            deadline_ms=DEADLINE_MS,
            stop=cut,
        )
    )
    answer = await task
    events = answer.body.count(b'\n\n')
    deployment.record(
        'answered',
        id=attempt_id,
        status=answer.status,
        complete=answer.is_complete,
        events=events,
        error=answer.error,
    )
    if is_counted:
        tally.new += 1
        tally.new_begun += events > 0
    if 0 < events < EVENTS and not answer.is_complete:
        tally.broken_off.append((attempt_id, events))


async def take_up(deployment, tally, first_id, events):
    daemon = random.choice(deployment.daemons)
    attempt_id = harness.new_id()
    answer = await harness.send(
        daemon.address,
        '/review/x',
        attempt_id=attempt_id,
        deadline_ms=int(DEADLINE_MS - PAUSE_S * 1_000),
        headers={'Last-Event-Id': str(events), 'Resumes': first_id},
    )
    has_gone_on = answer.body.startswith(event(events + 1))
    tally.resumed += 1
    tally.gone_on += has_gone_on
    deployment.record(
        'taken-up',
        id=attempt_id,
        of=first_id,
        after_event=events,
        to=daemon.name,
        status=answer.status,
        goes_on=has_gone_on,
        body=answer.body[:60] if answer.status != 200 else '',
    )


async def send_for(deployment, tally, seconds, is_counted, cut=None):
    loop = asyncio.get_running_loop()
    until_s = loop.time() + seconds
    tasks = []
    while loop.time() < until_s:
        tasks.append(
            asyncio.create_task(consume(deployment, tally, is_counted, cut))
        )
        await asyncio.sleep(1 / STREAMS_PER_S)
    return tasks


async def play_round(deployment, tally):
    cut = asyncio.Event()
    loop = asyncio.get_running_loop()
    tally.broken_off.clear()
    tasks = await send_for(deployment, tally, 3.0, False, cut)
    if harness.has_trouble():
        for daemon in deployment.daemons:
            daemon.signal(signal.SIGKILL)
        for daemon in deployment.daemons:
            daemon.process.wait()
        deployment.record('killed', machines='all')
    else:
        cut.set()
    end_s = loop.time()
    await asyncio.gather(*tasks)
    broken_off = list(tally.broken_off)
    started_s = end_s
    if harness.has_trouble():
        await asyncio.sleep(RESTART_S)
        for daemon in deployment.daemons:
            daemon.start()
        started_s = loop.time()
        await deployment.wait_ready()
    await asyncio.sleep(max(0.0, end_s + PAUSE_S - loop.time()))
    if loop.time() < started_s + CONTACT_S:
        raise harness.CannotRun('the machines are not in touch in time')
    tasks = await send_for(deployment, tally, 1.0, True)
    tasks += [
        asyncio.create_task(take_up(deployment, tally, *stream))
        for stream in broken_off
    ]
    await asyncio.gather(*tasks)


async def play(deployment):
    versions = ('v1', 'v1', 'v1', 'v2', 'v2', 'v2')
    for number, version in enumerate(versions):
        worker = Engine(
            f'i-{number}',
            'engine',
            deployment.worker_ip,
            deployment.record,
            slots=48,
        )
        await worker.start()
        deployment.workers.append(worker)
        deployment.list_worker(worker, version=version)
    review = harness.route(
        'review',
        'streaming',
        '/review/',
        'engine',
        timeoutMs=DEADLINE_MS,
        resumable=True,
        sticky=True,
    )
    deployment.configure([review], [harness.ENGINE])
    for _ in range(MACHINES):
        deployment.add_daemon()
    await deployment.wait_ready()
    await asyncio.sleep(4.0)
    tally = Tally()
    for _ in range(ROUNDS):
        await play_round(deployment, tally)
    print(
        f'{tally.gone_on} of {tally.resumed} streams that were taken up '
        f'again went on; {tally.new_begun} of {tally.new} new ones began'
    )
    if tally.resumed < LEAST or not tally.new:
        raise harness.CannotRun('too few streams were taken up again')
    share = tally.gone_on / tally.resumed
    new_share = tally.new_begun / tally.new
    if share < new_share / 2:
        return [
            f'LOST: {tally.gone_on} of {tally.resumed} streams went on, '
            f'{tally.new_begun} of {tally.new} new ones began'
        ]
    return []


if __name__ == '__main__':
    harness.main(FOLDER, play)
