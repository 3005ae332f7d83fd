"""Random faults from outside the processes; they may overlap."""

import contextlib
import threading
import time
import typing

from bench import processes
from bench.soak import clusters
from bench.soak import proxy

Repair = typing.Callable[[], None]
Fault = typing.Callable[[clusters.Cluster], Repair]

TARGET_FAULTS = (
    'error',
    'not_run',
    'reset',
    'short',
    'head_cut',
    'garbage',
    'silent',
)
STORE_DELAY_S = 0.8
#: Pools whose targets answer callers.
ANSWERING_POOLS = ('app', 'engine')
#: A target that starts again at once is back after this time.
RESTART_S = 0.2
SLOW_SHARE = 0.5
COPIED_SHARE = 0.5
HURRIED_SHARE = 0.3
REPEATABLE_SHARE = 0.8
#: Signals that a process gets in series, at most this far apart.
MAX_SIGNALS = 4
MAX_SIGNAL_GAP_S = 0.3


#: What links to targets do that a host is cut off from.
CUT_MODES = (proxy.Mode.BLOCK_BOTH, proxy.Mode.RESET)
_FAULTY_MODES = [mode for mode in proxy.Mode if mode is not proxy.Mode.PASS]


def _impair(cluster: clusters.Cluster, link: proxy.Link) -> Repair:
    link.mode = cluster.rng.choice(_FAULTY_MODES)

    def repair() -> None:
        link.mode = proxy.Mode.PASS

    return repair


def break_callers_link(cluster: clusters.Cluster) -> Repair:
    """Impair the link between callers and one host."""
    return _impair(cluster, cluster.rng.choice(cluster.edges).callers)


def break_peers_link(cluster: clusters.Cluster) -> Repair:
    """Impair the link from the other hosts to one host."""
    return _impair(cluster, cluster.rng.choice(cluster.edges).peers)


def break_store_link(cluster: clusters.Cluster) -> Repair:
    """Impair the link from one host to the store."""
    return _impair(cluster, cluster.rng.choice(cluster.edges).store)


def break_target_link(cluster: clusters.Cluster) -> Repair:
    """Impair the link from all hosts to one target."""
    return _impair(cluster, cluster.rng.choice(cluster.targets).link)


def cut_from_targets(cluster: clusters.Cluster) -> Repair:
    """Cut one host off from all targets."""
    view = cluster.rng.choice(cluster.edges).view
    view.mode = cluster.rng.choice(CUT_MODES)

    def repair() -> None:
        view.mode = proxy.Mode.PASS

    return repair


def _take_host(cluster: clusters.Cluster) -> clusters.Edge | None:
    """Return a host that runs and that no other fault stops, if any."""
    edge = cluster.rng.choice(cluster.edges)
    if edge.is_taken or not edge.process.is_running:
        return None
    edge.is_taken = True
    return edge


def _repair_host(edge: clusters.Edge, repair: Repair) -> Repair:
    def repair_and_leave() -> None:
        repair()
        edge.is_taken = False

    return repair_and_leave


def pause_host(cluster: clusters.Cluster) -> Repair:
    """Pause a process with SIGSTOP until the repair."""
    edge = _take_host(cluster)
    if edge is None:
        return _repair_nothing
    edge.process.pause()
    return _repair_host(edge, edge.process.resume)


def kill_host(cluster: clusters.Cluster) -> Repair:
    """Kill a process; the repair starts a new one."""
    edge = _take_host(cluster)
    if edge is None:
        return _repair_nothing
    edge.process.kill()
    return _repair_host(edge, edge.start)


def restart_host(cluster: clusters.Cluster) -> Repair:
    """Terminate a process and start a new one, beside other faults.

    A host of another build is upgraded to this one.
    """
    return _signal_host(cluster, (), is_upgrade=True)


def signal_host(cluster: clusters.Cluster) -> Repair:
    """Send a process signals in series, the last of which ends it."""
    count = cluster.rng.randrange(1, MAX_SIGNALS)
    names = cluster.rng.choices(('hang_up', 'pause', 'resume'), k=count)
    return _signal_host(cluster, (*names, 'resume'))


def _signal_host(
    cluster: clusters.Cluster,
    names: typing.Sequence[str],
    is_upgrade: bool = False,
) -> Repair:
    edge = _take_host(cluster)
    if edge is None:
        return _repair_nothing
    gaps_s = [cluster.rng.uniform(0, MAX_SIGNAL_GAP_S) for _ in names]
    is_killed = bool(names) and cluster.rng.random() < 0.5

    def signal() -> None:
        # SIGHUP ends a process that has set no handlers yet.
        _await(edge.has_started)
        for name, gap_s in zip(names, gaps_s):
            getattr(edge.process, name)()
            time.sleep(gap_s)
        if is_killed:
            edge.process.kill()
        else:
            edge.stop()
        if is_upgrade:
            edge.python_path = ''
        edge.start()
        _await(edge.is_ready)

    thread = threading.Thread(target=signal, daemon=True)
    thread.start()
    return _repair_host(edge, thread.join)


def _await(condition: typing.Callable[[], bool]) -> None:
    with contextlib.suppress(processes.ConditionTimeoutError):
        processes.await_condition(
            condition, 'a host has started', clusters.READY_WAIT_S
        )


def reload_host(cluster: clusters.Cluster) -> Repair:
    """Send a process SIGHUP."""
    edge = cluster.rng.choice(cluster.edges)
    if not edge.is_taken and edge.process.is_running and edge.has_started():
        edge.process.hang_up()
    return _repair_nothing


def _store_fault(name: str, value: typing.Any, normal: typing.Any) -> Fault:
    def fault(cluster: clusters.Cluster) -> Repair:
        setattr(cluster.store, name, value)
        return lambda: setattr(cluster.store, name, normal)

    return fault


def discard_history(cluster: clusters.Cluster) -> Repair:
    """Make the store discard its history."""
    cluster.store.discard_history()
    return _repair_nothing


def fail_target(cluster: clusters.Cluster) -> Repair:
    """Make a target return faulty responses."""
    target = cluster.rng.choice(cluster.targets)
    target.behaviours = [cluster.rng.choice(TARGET_FAULTS)]

    def repair() -> None:
        target.behaviours = ['ok']

    return repair


def _end_target(cluster: clusters.Cluster, pool: str) -> Repair:
    running = [t for t in cluster.targets if t.pool == pool and not t.is_down]
    if len(running) < 2:
        return _repair_nothing
    target = cluster.rng.choice(running)
    target.end()

    def repair() -> None:
        target.come_back()
        if target in cluster.targets:
            cluster.store.put('servers', target.name, target.entry())

    return repair


def end_app(cluster: clusters.Cluster) -> Repair:
    """End a target like a process; it comes back at the same address."""
    return _end_target(cluster, 'app')


def end_engine(cluster: clusters.Cluster) -> Repair:
    """End an engine like a process; it comes back at the same address."""
    return _end_target(cluster, 'engine')


def restart_target_at_pause(cluster: clusters.Cluster) -> Repair:
    """Pause a host while a target ends and comes back."""
    edge = _take_host(cluster)
    if edge is None:
        return _repair_nothing
    edge.process.pause()
    repair_target = _end_target(cluster, cluster.rng.choice(ANSWERING_POOLS))
    time.sleep(RESTART_S)
    repair_target()
    edge.process.resume()
    edge.is_taken = False
    return _repair_nothing


def _pool_fault(name: str, value: float) -> Fault:
    def fault(cluster: clusters.Cluster) -> Repair:
        pool = cluster.rng.choice(ANSWERING_POOLS)
        targets = [t for t in cluster.targets if t.pool == pool]

        def apply(share: float) -> None:
            for target in targets:
                setattr(target, name, share)

        apply(value)
        return lambda: apply(0.0)

    return fault


def copy_answers(cluster: clusters.Cluster) -> Repair:
    """Let targets answer twice on connections that are in use again."""
    cluster.repeatable_share = REPEATABLE_SHARE
    repair_pool = _pool_fault('copied_share', COPIED_SHARE)(cluster)

    def repair() -> None:
        cluster.repeatable_share = 0.0
        repair_pool()

    return repair


def hurry_callers(cluster: clusters.Cluster) -> Repair:
    """Make callers send short deadlines, or leave before the answer."""
    cluster.hurried_share = HURRIED_SHARE

    def repair() -> None:
        cluster.hurried_share = 0.0

    return repair


def replace_target(cluster: clusters.Cluster) -> Repair:
    """Retire a target after starting another one of its pool."""
    target = cluster.rng.choice(cluster.targets)
    if target.is_down:
        return _repair_nothing
    cluster.add_target(target.pool, target.zone, target.version)
    cluster.retire(target)
    return _repair_nothing


def rotate_keys(cluster: clusters.Cluster) -> Repair:
    """Add a caller's key and revoke another."""
    cluster.rotate_keys()
    return _repair_nothing


def _repair_nothing() -> None:
    """End a fault that needs no repair."""


PLANNED_CHANGES: tuple[Fault, ...] = (
    replace_target,
    rotate_keys,
    restart_host,
    reload_host,
)
#: How targets answer, and what ends calls to them too early.
ANSWER_FAULTS: tuple[Fault, ...] = (
    end_app,
    end_engine,
    restart_target_at_pause,
    _pool_fault('slow_share', SLOW_SHARE),
    copy_answers,
    hurry_callers,
    signal_host,
)
FAULTS: tuple[Fault, ...] = (
    break_callers_link,
    break_peers_link,
    break_store_link,
    break_target_link,
    cut_from_targets,
    pause_host,
    kill_host,
    _store_fault('is_down', True, False),
    _store_fault('delay_s', STORE_DELAY_S, 0.0),
    _store_fault('loses_answers', True, False),
    discard_history,
    fail_target,
    *ANSWER_FAULTS,
    *PLANNED_CHANGES,
)


def inject(
    cluster: clusters.Cluster,
    kinds: typing.Sequence[Fault],
    duration_s: float,
    mean_gap_s: float,
) -> None:
    """Inject faults of ``kinds`` for a while, then repair all of them."""
    rng = cluster.rng
    end_s = time.monotonic() + duration_s
    active_faults: list[tuple[float, Repair]] = []
    while time.monotonic() < end_s:
        repair = rng.choice(kinds)(cluster)
        until_s = time.monotonic() + rng.uniform(0.3, 3.0)
        active_faults.append((until_s, repair))
        time.sleep(rng.uniform(0, 2 * mean_gap_s))
        due = [f for f in active_faults if f[0] <= time.monotonic()]
        for fault in due:
            active_faults.remove(fault)
            fault[1]()
    for _, repair in active_faults:
        repair()
