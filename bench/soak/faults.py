"""Faults from outside the processes, drawn at random; each can overlap."""

import contextlib
import time
import typing

from bench import processes
from bench.soak import proxy
from bench.soak import world

Heal = typing.Callable[[], None]
Fault = typing.Callable[[world.World], Heal]

TARGET_FAULTS = ('error', 'not_run', 'reset', 'short', 'garbage', 'silent')
STORE_DELAY_S = 0.8


_HARMS = [mode for mode in proxy.Mode if mode is not proxy.Mode.PASS]


def _harm(found: world.World, link: proxy.Link) -> Heal:
    link.mode = found.rng.choice(_HARMS)

    def heal() -> None:
        link.mode = proxy.Mode.PASS

    return heal


def break_callers_link(found: world.World) -> Heal:
    """Harm the link of one host to its callers."""
    return _harm(found, found.rng.choice(found.edges).callers)


def break_peers_link(found: world.World) -> Heal:
    """Harm the link of other hosts to one host."""
    return _harm(found, found.rng.choice(found.edges).peers)


def break_store_link(found: world.World) -> Heal:
    """Harm the link of one host to the store."""
    return _harm(found, found.rng.choice(found.edges).store)


def break_target_link(found: world.World) -> Heal:
    """Harm the link of all hosts to one target."""
    return _harm(found, found.rng.choice(found.targets).link)


def pause_host(found: world.World) -> Heal:
    """Stop a process by SIGSTOP for a while."""
    process = found.rng.choice(found.edges).process
    process.pause()
    return process.resume


def kill_host(found: world.World) -> Heal:
    """Kill a process; a new one follows."""
    edge = found.rng.choice(found.edges)
    if not edge.process.is_running:
        return _nothing
    edge.process.kill()
    return edge.start


def restart_host(found: world.World) -> Heal:
    """Ask a process to stop; a new one follows."""
    edge = found.rng.choice(found.edges)
    if not edge.process.is_running:
        return _nothing
    edge.process.resume()
    edge.stop()
    edge.start()
    with contextlib.suppress(processes.NotInTimeError):
        processes.await_condition(edge.is_ready, 'ready', world.READY_WAIT_S)
    return _nothing


def _set_store(name: str, value: typing.Any, usual: typing.Any) -> Fault:
    def fault(found: world.World) -> Heal:
        setattr(found.store, name, value)
        return lambda: setattr(found.store, name, usual)

    return fault


def forget_history(found: world.World) -> Heal:
    """Have the store drop its history."""
    found.store.forget_history()
    return _nothing


def misbehave(found: world.World) -> Heal:
    """Have a target answer wrongly."""
    target = found.rng.choice(found.targets)
    target.behaviours = [found.rng.choice(TARGET_FAULTS)]

    def heal() -> None:
        target.behaviours = ['ok']

    return heal


def replace_target(found: world.World) -> Heal:
    """Retire a target once another of its pool is there."""
    target = found.rng.choice(found.targets)
    found.add_target(target.pool, target.zone)
    found.retire(target)
    return _nothing


def change_keys(found: world.World) -> Heal:
    """Add a key and withdraw another."""
    found.change_keys()
    return _nothing


def _nothing() -> None:
    """Heal a fault that needs no healing."""


PLANNED: tuple[Fault, ...] = (replace_target, change_keys, restart_host)
FAULTS: tuple[Fault, ...] = (
    break_callers_link,
    break_peers_link,
    break_store_link,
    break_target_link,
    pause_host,
    kill_host,
    _set_store('is_down', True, False),
    _set_store('delay_s', STORE_DELAY_S, 0.0),
    _set_store('loses_answers', True, False),
    forget_history,
    misbehave,
    *PLANNED,
)


def storm(
    found: world.World,
    kinds: typing.Sequence[Fault],
    for_s: float,
    gap_s: float,
) -> None:
    """Play faults of ``kinds`` for a while; all are healed at the end."""
    rng = found.rng
    ends_s = time.monotonic() + for_s
    open_faults: list[tuple[float, Heal]] = []
    while time.monotonic() < ends_s:
        heal = rng.choice(kinds)(found)
        until_s = time.monotonic() + rng.uniform(0.3, 3.0)
        open_faults.append((until_s, heal))
        time.sleep(rng.uniform(0, 2 * gap_s))
        due = [f for f in open_faults if f[0] <= time.monotonic()]
        for one in due:
            open_faults.remove(one)
            one[1]()
    for _, heal in open_faults:
        heal()
