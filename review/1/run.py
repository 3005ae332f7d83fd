"""Unframed answers that a worker makes slowly."""

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
REQUESTS_PER_S = 60
TIMEOUT_MS = 400
DEADLINE_MS = 1_500
#: The mean and the longest work of the site's plain requests; some requests
#: last longer than their route's timeoutMs.
WORK_S, TAIL_WORK_S = 0.06, 0.45
TAIL_SHARE = 0.1
PARTS = 8


def body_of(attempt_id):
    part = (attempt_id + ' ' * 84)[:99] + '\n'
    return part.encode() * PARTS


class App(harness.Worker):
    """Sends its answer as it makes it; may leave out its length."""

    is_garbling = False
    garble_answers = 0
    unframed = 0

    async def run(self, request, writer):
        is_tail = '/tail/' in request.path
        is_unframed = False
        if self.is_garbling:
            self.garble_answers += 1
            limit = GARBLE_SHARE * self.garble_answers
            is_unframed = is_tail and self.unframed + 1 <= limit
            self.unframed += is_unframed
        fields = self.headers(request)
        content = body_of(request.attempt_id)
        if is_unframed:
            self.record('unframed', worker=self.name, id=request.attempt_id)
        else:
            fields['Content-Length'] = len(content)
        writer.write(harness.head(200, fields))
        work_s = TAIL_WORK_S if is_tail else WORK_S
        size = len(content) // PARTS
        for start in range(0, len(content), size):
            await asyncio.sleep(work_s / PARTS)
            writer.write(content[start : start + size])
            await writer.drain()
        return not is_unframed


async def consume(deployment, broken):
    kind = 'tail' if random.random() < TAIL_SHARE else 'usual'
    may_repeat = random.random() < 0.5
    daemon = random.choice(deployment.daemons)
    attempt_id = harness.new_id()
    path = f'/{"read" if may_repeat else "once"}/{kind}/{attempt_id}'
    deployment.record('sent', id=attempt_id, path=path, to=daemon.name)
    answer = await harness.send(
        daemon.address,
        path,
        method='GET' if may_repeat else 'POST',
        body=None if may_repeat else b'{}',
        attempt_id=attempt_id,
        deadline_ms=DEADLINE_MS,
    )
    whole = body_of(attempt_id)
    deployment.record(
        'answered',
        id=attempt_id,
        status=answer.status,
        complete=answer.is_complete,
        bytes=f'{len(answer.body)}/{len(whole)}',
        length=answer.headers.get('content-length'),
        after=f'{answer.elapsed_s:.3f}',
        error=answer.error,
    )
    if answer.status == 200 and answer.is_complete and answer.body != whole:
        broken.append(
            f'MIXED: {path.split("/")[1]} {attempt_id} got 200 with length '
            f'{answer.headers.get("content-length")} and {len(answer.body)} '
            f'of {len(whole)} bytes, {answer.elapsed_s:.2f} s after it was '
            'sent'
        )


async def play(deployment):
    for number in range(1, 5):
        worker = App(
            f'i-{number}', 'app', deployment.worker_ip, deployment.record
        )
        await deployment.add_worker(worker)
    read = harness.route(
        'read', 'idempotent', '/read/', 'app', timeoutMs=TIMEOUT_MS
    )
    once = harness.route(
        'once',
        'non_idempotent',
        '/once/',
        'app',
        timeoutMs=TIMEOUT_MS,
        attempts=1,
    )
    deployment.configure([read, once], [harness.APP])
    for _ in range(3):
        deployment.add_daemon()
    await deployment.wait_ready()
    broken, tasks = [], []
    loop = asyncio.get_running_loop()
    start_s = loop.time()
    while loop.time() < start_s + 9.0:
        at_s = loop.time() - start_s
        for worker in deployment.workers[:2]:
            worker.is_garbling = (
                harness.has_trouble() and 2.0 <= at_s < 2.0 + GARBLE_S
            )
        tasks.append(asyncio.create_task(consume(deployment, broken)))
        await asyncio.sleep(1 / REQUESTS_PER_S)
    await asyncio.gather(*tasks)
    unframed = sum(worker.unframed for worker in deployment.workers)
    garbled = sum(worker.garble_answers for worker in deployment.workers)
    print(
        f'{len(tasks)} requests, {unframed} unframed of {garbled} answers '
        f'of the two servers in {GARBLE_S} s'
    )
    served = sum(len(worker.runs) for worker in deployment.workers)
    if served < 0.9 * len(tasks) or (harness.has_trouble() and not unframed):
        raise harness.CannotRun(f'{served} of {len(tasks)} requests ran')
    return broken


if __name__ == '__main__':
    harness.main(FOLDER, play)
