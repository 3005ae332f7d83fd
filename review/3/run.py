"""Manifest changes while the store turns some machines away."""

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
ROUNDS = 6
#: Bounds of the sheet, and a margin for this script's own delay.
CONFIG_APPLY_S = harness.BOUNDS['configApplyMs'] / 1_000
CONTACT_S = harness.BOUNDS['contactMs'] / 1_000
MARGIN_S = 0.1
PROBE_S = 0.1


def routes(number):
    """Return the first route, and one that is new in each version."""
    first = harness.route('first', 'idempotent', '/first/', 'app')
    newest = harness.route(
        f'new-{number}', 'idempotent', f'/new-{number}/', 'app'
    )
    return [first, newest]


async def probe(deployment, daemon, number, confirmed_s, broken):
    """Send one request on the newest route to one machine."""
    loop = asyncio.get_running_loop()
    sent_s = loop.time() - confirmed_s
    answer = await harness.send(
        daemon.address,
        f'/new-{number}/probe',
        method='GET',
        body=None,
        deadline_ms=1_500,
    )
    deployment.record(
        'probe',
        to=daemon.name,
        version=deployment.version,
        sent_after=f'{sent_s:.3f}',
        status=answer.status,
    )
    if answer.status == 404 and sent_s > CONFIG_APPLY_S + MARGIN_S:
        broken.append(
            f'CONFIG: {daemon.name} refused with 404 a request sent '
            f'{sent_s:.2f} s after version {deployment.version} was confirmed'
        )


async def play(deployment):
    worker = harness.Worker(
        'i-1', 'app', deployment.worker_ip, deployment.record, slots=32
    )
    await deployment.add_worker(worker)
    deployment.configure(routes(0), [harness.APP])
    gates = {}
    for _ in range(MACHINES):
        gate = harness.Gate(deployment.worker_ip, deployment.store.address)
        await gate.start()
        deployment.proxies.append(gate)
        gates[deployment.add_daemon(gate.address).name] = gate
    await deployment.wait_ready()
    # Each host has learned of the others.
    await asyncio.sleep(15.0)
    for gate in gates.values():
        gate.has_followed = False
    await asyncio.sleep(6.0)
    followers = [n for n, gate in gates.items() if gate.has_followed]
    others = [n for n in gates if n not in followers]
    deployment.record('machines', that_follow_the_manifest=followers)
    away = (followers + others)[:TURNED_AWAY]
    calm = [d for d in deployment.daemons if d.name not in away]
    print('turned away:', ', '.join(away))
    loop = asyncio.get_running_loop()
    broken = []
    for number in range(1, ROUNDS + 1):
        await asyncio.sleep(random.uniform(0, 2.5))
        if harness.has_trouble():
            deployment.record('store', turns_away=away)
            for name in away:
                gates[name].hold()
        start_s = loop.time()
        await asyncio.sleep(0.1)
        deployment.configure(routes(number), [harness.APP])
        confirmed_s = loop.time()
        tasks = []
        while loop.time() < start_s + AWAY_S:
            tasks += [
                asyncio.create_task(
                    probe(deployment, daemon, number, confirmed_s, broken)
                )
                for daemon in calm
            ]
            await asyncio.sleep(PROBE_S)
        for name in away:
            gates[name].release()
        deployment.record('store', serves='all')
        await asyncio.gather(*tasks)
        if not harness.has_trouble():
            continue
        await asyncio.sleep(CONTACT_S)
    return broken


if __name__ == '__main__':
    harness.main(FOLDER, play)
