"""Requests of callers that have left reach workers during a burst."""

import json
import os
import subprocess
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
sys.dont_write_bytecode = True
import rig  # noqa: E402

EDGES = 2
#: Streams and reads that all clients send in a second, as usual.
STREAMS_PER_S, READS_PER_S, SAVES_PER_S = 26.0, 12.0, 3.0
BURST_X, BURST_AT_S, BURST_S, LENGTH_S = 2.6, 8.0, 6.9, 20.0
EVENTS, EVENT_PAUSE_S = 56, 0.107
#: A client abandons an idempotent request that was not read after 1 s, and
#: any request at its deadline.
ABANDON_S, DEADLINE_MS = 1.0, 3000
GONE_S, FEW = 0.5, 5


class Engine(rig.Worker):
    """Streams events at a steady pace."""

    def serve(self, conn, request):
        attempt = request[2]['x-attempt-id']
        self.log(f"worker {self.name} runs {attempt}")
        headers = self.headers(request) | {
            'Content-Type': 'text/event-stream', 'Transfer-Encoding': 'chunked'}
        head = ''.join(f'{k}: {v}\r\n' for k, v in headers.items())
        conn.sendall(f'HTTP/1.1 200 OK\r\n{head}\r\n'.encode())
        for number in range(1, EVENTS + 1):
            event = f'id: {number}\ndata: {attempt}\n\n'.encode()
            conn.sendall(b'%x\r\n%b\r\n' % (len(event), event))
            time.sleep(EVENT_PAUSE_S)
        conn.sendall(b'0\r\n\r\n')
        return True


def record(is_first=False):
    return rig.Log(os.path.join(HERE, 'record.txt'), is_first)


def serve_engines():
    """Run the engines in a process of their own; print their entries."""
    engines = [Engine(f'engine-{n}', 'engine', record(), slots=128) for n in range(6)]
    print(json.dumps({e.name: e.entry() for e in engines}), flush=True)
    sys.stdin.read()


def rates(per_s):
    """Yield the times of requests from the start, in seconds."""
    at_s = 0.0
    while at_s < LENGTH_S:
        yield at_s
        is_burst = BURST_AT_S <= at_s < BURST_AT_S + BURST_S
        at_s += 1 / (per_s * (BURST_X if is_burst and rig.has_trouble() else 1))


def send_all(fronts, route, per_s, deadline_ms, timeout_s, log, left, replies):
    """Send the requests of a route; wait for all of them."""
    threads, started_s = [], rig.now()

    def ask(front, attempt):
        log(f'client sends {attempt}')
        try:
            channel = rig.Channel(front, 1)
            channel.send('GET', f'/{route}/x', {
                'Host': 'site.example', 'X-Attempt-Id': attempt,
                'X-Deadline-Ms': str(deadline_ms)})
            status, _, _, is_whole = channel.receive(timeout_s)
            channel.close()
        except OSError as error:
            status, is_whole = repr(error), False
        if status == -1:
            left[attempt] = rig.now()
            log(f'client closes the channel of {attempt}: no answer')
        else:
            log(f'client gets {status} for {attempt}')
        replies.append((status, is_whole))

    for number, at_s in enumerate(rates(per_s), 1):
        time.sleep(max(0.0, started_s + at_s - rig.now()))
        thread = threading.Thread(target=ask, daemon=True, args=(
            fronts[number % len(fronts)], f'{route}-{number}'))
        thread.start()
        threads.append(thread)
    for thread in threads:
        thread.join()


def main():
    rig.require_build()
    log = record(is_first=True)
    store = rig.Store()
    app = [rig.Worker(f'app-{n}', 'app', log, slots=6, work_s=0.06) for n in range(4)]
    rig.CheckIns(store, app)
    children = [subprocess.Popen(
        [sys.executable, __file__, 'engines'], stdin=subprocess.PIPE,
        stdout=subprocess.PIPE, text=True)]
    for name, entry in json.loads(children[0].stdout.readline()).items():
        store.put('servers', name, entry)
    services = [{'name': n, 'maxConnections': 500} for n in ('app', 'engine')]
    routes = [
        {'name': 'read', 'service': 'app', 'timeoutMs': 1500, 'goalMs': 400},
        {'name': 'save', 'service': 'app', 'routeKind': 'non_idempotent',
         'timeoutMs': 1500, 'goalMs': 400, 'attempts': 1},
        {'name': 'query', 'service': 'engine', 'routeKind': 'streaming',
         'timeoutMs': 15000, 'goalMs': 1600, 'attempts': 1, 'gapGoalMs': 300},
    ]
    store.put('op', 'config', rig.manifest(1, services, routes))
    edges = [rig.Edge(f'edge-{n}', f'{rig.network()}.{n}', store.address, log=log)
             for n in range(1, EDGES + 1)]
    fronts = [edge.front for edge in edges]
    left, replies = {}, []
    try:
        for edge in edges:
            edge.start()
        if not all(edge.await_ready() for edge in edges):
            print('an edge process is not ready')
            return 2
        time.sleep(3.5)
        children.append(subprocess.Popen(
            [sys.executable, __file__, 'streams', *fronts],
            stdout=subprocess.PIPE, text=True))
        saves = threading.Thread(target=send_all, args=(
            fronts, 'save', SAVES_PER_S, DEADLINE_MS, DEADLINE_MS / 1000, log,
            left, replies))
        saves.start()
        send_all(fronts, 'read', READS_PER_S, DEADLINE_MS, ABANDON_S, log, left, replies)
        saves.join()
        streams = json.loads(children[1].communicate(timeout=40)[0])
        time.sleep(1)
    finally:
        for edge in edges:
            edge.stop()
        for child in children:
            child.kill()
            child.wait()
    late = [
        (request[2]['x-attempt-id'], at_s - left[request[2]['x-attempt-id']])
        for worker in app for at_s, request in worker.runs
        if request[2]['x-attempt-id'] in left
        and at_s - left[request[2]['x-attempt-id']] > GONE_S
    ]
    for attempt, by_s in late:
        log(f'{attempt} reached a worker {by_s:.2f} s after its client had left')
    answered = sum(status == 200 for status, _ in replies)
    saves = sum(attempt.startswith('save') for attempt, _ in late)
    print(f'{len(left)} clients left, {len(late)} of their requests ({saves} of '
          f'them non-idempotent) reached a worker over {GONE_S} s later; '
          f'{answered} of {len(replies)} reads and saves and '
          f'{streams[0]} of {streams[1]} streams answered 200')
    if not answered:
        return 2
    return 1 if len(late) > FEW else 0


def send_streams(fronts):
    replies = []
    send_all(fronts, 'query', STREAMS_PER_S, 15000, 15.0, record(), {}, replies)
    whole = sum(status == 200 and is_whole for status, is_whole in replies)
    print(json.dumps([whole, len(replies)]), flush=True)


if __name__ == '__main__':
    if sys.argv[1:2] == ['engines']:
        serve_engines()
    elif sys.argv[1:2] == ['streams']:
        send_streams(sys.argv[2:])
    else:
        rig.run(main)
