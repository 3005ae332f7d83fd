"""Unframed streams that last longer than their route's timeout."""

import asyncio
import pathlib
import random
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import harness  # noqa: E402

#: Largest dose of `garble` with `unframed` in rahla-onboard.toml: half of
#: the servers (its default share), 0.05 of their answers, 5 s.
GARBLE_SHARE = 0.05
GARBLE_S = 5.0
STREAMS_PER_S = 40
TIMEOUT_MS = 2_000
SHORT_EVENTS, LONG_EVENTS = 8, 40
EVENT_S = 0.1


def event(number):
    return b'id: %d\ndata: piece %d\n\n' % (number, number)


class Engine(harness.Worker):
    """Sends an event each 100 ms; may leave out the length of an answer."""

    is_garbling = False
    garble_answers = 0
    unframed = 0

    async def run(self, request, writer):
        is_long = request.path.endswith('/long')
        last = LONG_EVENTS if is_long else SHORT_EVENTS
        is_unframed = False
        if self.is_garbling:
            self.garble_answers += 1
            limit = GARBLE_SHARE * self.garble_answers
            is_unframed = is_long and self.unframed + 1 <= limit
            self.unframed += is_unframed
        fields = self.headers(request, Content_Type='text/event-stream')
        if not is_unframed:
            fields['Transfer-Encoding'] = 'chunked'
        else:
            self.record('unframed', worker=self.name, id=request.attempt_id)
        writer.write(harness.head(200, fields))
        for number in range(1, last + 1):
            await asyncio.sleep(EVENT_S)
            piece = event(number)
            writer.write(piece if is_unframed else harness.chunk(piece))
            await writer.drain()
        if not is_unframed:
            writer.write(b'0\r\n\r\n')
            await writer.drain()
        return not is_unframed


async def consume(deployment, broken):
    is_long = random.random() < 0.25
    path = '/chat/long' if is_long else '/chat/short'
    daemon = random.choice(deployment.daemons)
    attempt_id = harness.new_id()
    deployment.record('sent', id=attempt_id, path=path, to=daemon.name)
    answer = await harness.send(
        daemon.address, path, attempt_id=attempt_id, deadline_ms=6_000
    )
    last = LONG_EVENTS if is_long else SHORT_EVENTS
    pieces = answer.body.count(b'\n\n')
    deployment.record(
        'answered',
        id=attempt_id,
        status=answer.status,
        complete=answer.is_complete,
        pieces=f'{pieces}/{last}',
        after=f'{answer.elapsed_s:.3f}',
        error=answer.error,
    )
    if answer.status == 200 and answer.is_complete and pieces < last:
        broken.append(
            f'ORDER: stream {attempt_id} ended as complete after piece '
            f'{pieces} of {last}, {answer.elapsed_s:.2f} s after it was sent'
        )


async def play(deployment):
    for number in range(1, 5):
        worker = Engine(
            f'i-{number}', 'engine', deployment.worker_ip, deployment.record
        )
        await deployment.add_worker(worker)
    chat = harness.route(
        'chat', 'streaming', '/chat/', 'engine', timeoutMs=TIMEOUT_MS
    )
    deployment.configure([chat], [harness.ENGINE])
    for _ in range(3):
        deployment.add_daemon()
    await deployment.wait_ready()
    broken, tasks = [], []
    loop = asyncio.get_running_loop()
    start_s = loop.time()
    garble_s = (2.0, 2.0 + GARBLE_S)
    while loop.time() < start_s + 9.0:
        at_s = loop.time() - start_s
        for worker in deployment.workers[:2]:
            worker.is_garbling = (
                harness.has_trouble() and garble_s[0] <= at_s < garble_s[1]
            )
        tasks.append(asyncio.create_task(consume(deployment, broken)))
        await asyncio.sleep(1 / STREAMS_PER_S)
    await asyncio.gather(*tasks)
    unframed = sum(worker.unframed for worker in deployment.workers)
    garbled = sum(worker.garble_answers for worker in deployment.workers)
    print(
        f'{len(tasks)} streams, {unframed} unframed of {garbled} answers '
        f'of the two servers in {GARBLE_S} s'
    )
    served = sum(len(worker.runs) for worker in deployment.workers)
    if served < 0.9 * len(tasks) or (harness.has_trouble() and not unframed):
        raise harness.CannotRun(f'{served} of {len(tasks)} streams ran')
    return broken


if __name__ == '__main__':
    harness.main(FOLDER, play)
