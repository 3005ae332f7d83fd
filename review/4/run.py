"""Workers leave while the store turns some machines away."""

import asyncio
import pathlib
import random
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import harness  # noqa: E402

#: `platform_down` with `nodes` in rahla-onboard.toml: at most a share of
#: 0.35 of the machines, for 9 s at most. Three of nine machines, 4 s.
MACHINES = 9
TURNED_AWAY = 3
AWAY_S = 4.0
ROUNDS = 9
#: `scale_in` there: at most a share of 0.25 of a service's servers.
WORKERS = 12
LEAVING = 3
#: Bounds of the sheet, and a margin for this script's own delay.
DRAIN_S = harness.BOUNDS['drainMs'] / 1_000
CONTACT_S = harness.BOUNDS['contactMs'] / 1_000
MARGIN_S = 0.1
#: A worker that leaves serves for `drainMs` and this much longer.
LONGER_S = 2.0
WORK_S = 0.06
#: Pause between two requests of one consumer; each uses one machine.
PAUSE_S = 0.4


class App(harness.Worker):
    """Says in its answers that it leaves."""

    async def run(self, request, writer):
        await asyncio.sleep(WORK_S)
        extra = {} if self.state == 'ready' else {'Server_Leaving': '1'}
        writer.write(
            harness.response(200, self.headers(request, **extra), b'whole')
        )
        await writer.drain()
        return True


class Consumer:
    """Sends requests to one machine, as they come."""

    def __init__(self, deployment, daemon):
        self.deployment, self.daemon = deployment, daemon
        self.sent_s = {}

    async def run(self):
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(random.expovariate(1 / PAUSE_S))
            attempt_id = harness.new_id()
            self.sent_s[attempt_id] = loop.time()
            self.deployment.record('sent', id=attempt_id, to=self.daemon.name)
            answer = await harness.send(
                self.daemon.address,
                '/once/x',
                attempt_id=attempt_id,
                deadline_ms=1_500,
            )
            self.deployment.record(
                'answered', id=attempt_id, status=answer.status
            )


async def find_followers(deployment, gates):
    """Return the machines that follow the manifest in the store."""
    # Each host has learned of the others.
    await asyncio.sleep(15.0)
    for gate in gates.values():
        gate.has_followed = False
    await asyncio.sleep(6.0)
    return [name for name, gate in gates.items() if gate.has_followed]


async def play(deployment):
    for number in range(WORKERS):
        await deployment.add_worker(
            App(f'i-{number}', 'app', deployment.worker_ip, deployment.record)
        )
    once = harness.route(
        'once', 'non_idempotent', '/once/', 'app', timeoutMs=1_500, attempts=1
    )
    deployment.configure([once], [harness.APP])
    gates = {}
    for _ in range(MACHINES):
        gate = harness.Gate(deployment.worker_ip, deployment.store.address)
        await gate.start()
        deployment.proxies.append(gate)
        gates[deployment.add_daemon(gate.address).name] = gate
    await deployment.wait_ready()
    heart = asyncio.create_task(beat(deployment))
    followers = await find_followers(deployment, gates)
    others = [name for name in gates if name not in followers]
    away = (followers + others)[:TURNED_AWAY]
    print('turned away:', ', '.join(away))
    consumers = [
        Consumer(deployment, daemon)
        for daemon in deployment.daemons
        if daemon.name not in away
    ]
    tasks = [asyncio.create_task(consumer.run()) for consumer in consumers]
    broken = []
    for number in range(ROUNDS):
        await asyncio.sleep(random.uniform(0, 1.0))
        await play_round(deployment, gates, away, consumers, number, broken)
    for task in [*tasks, heart]:
        task.cancel()
    return broken


async def play_round(deployment, gates, away, consumers, number, broken):
    loop = asyncio.get_running_loop()
    first = number * LEAVING % WORKERS
    leaving = deployment.workers[first : first + LEAVING]
    if harness.has_trouble():
        deployment.record('store', turns_away=away)
        for name in away:
            gates[name].hold()
    start_s = loop.time()
    await asyncio.sleep(0.1)
    for worker in leaving:
        worker.state = 'draining'
        worker.sequence += 1
        deployment.list_worker(worker)
        worker.runs.clear()
        deployment.record('draining', worker=worker.name)
    confirmed_s = loop.time()
    await asyncio.sleep(DRAIN_S + LONGER_S)
    sent_s = {i: (c, s) for c in consumers for i, s in c.sent_s.items()}
    for index, worker in enumerate(leaving, first):
        successor = App(
            f'i-{index}-{number}',
            'app',
            deployment.worker_ip,
            deployment.record,
        )
        await successor.start()
        deployment.workers[index] = successor
        deployment.list_worker(successor)
        worker.stop()
        deployment.store.delete('servers', worker.name)
        deployment.record('gone', worker=worker.name)
        for request in worker.runs:
            consumer, at_s = sent_s.get(request.attempt_id, (None, 0.0))
            late_s = at_s - confirmed_s
            if consumer is not None and late_s > DRAIN_S + MARGIN_S:
                broken.append(
                    f'DRAIN: {consumer.daemon.name} passed a request on to '
                    f'{worker.name} that was sent {late_s:.2f} s after the '
                    'store had confirmed that it is draining'
                )
    await asyncio.sleep(max(0.0, start_s + AWAY_S - loop.time()))
    for name in away:
        gates[name].release()
    deployment.record('store', serves='all')
    await asyncio.sleep(CONTACT_S)


async def beat(deployment):
    """Write the workers' entries again, as they do every 1.2 s."""
    while True:
        for worker in list(deployment.workers):
            worker.sequence += 1
            deployment.list_worker(worker)
            await asyncio.sleep(1.2 / WORKERS)


if __name__ == '__main__':
    harness.main(FOLDER, play)
