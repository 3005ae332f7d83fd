"""Faults from outside the processes, drawn at random; each can overlap."""

import contextlib
import itertools
import random
import time
import typing

from bench import processes
from bench.soak import proxy
from bench.soak import world

Heal = typing.Callable[[], None]
Fault = typing.Callable[[world.World, random.Random], Heal]

TARGET_FAULTS = ('error', 'not_run', 'reset', 'short', 'garbage', 'silent')
STORE_DELAY_S = 0.8


def _break_link(
    link: proxy.Link, rng: random.Random, modes: typing.Sequence[proxy.Mode]
) -> Heal:
    link.mode = rng.choice(modes)

    def heal() -> None:
        link.mode = proxy.Mode.PASS

    return heal


_HARMS = [mode for mode in proxy.Mode if mode is not proxy.Mode.PASS]


def break_callers_link(found: world.World, rng: random.Random) -> Heal:
    """Harm the link of one host to its callers."""
    return _break_link(rng.choice(found.edges).callers, rng, _HARMS)


def break_peers_link(found: world.World, rng: random.Random) -> Heal:
    """Harm the link of other hosts to one host."""
    return _break_link(rng.choice(found.edges).peers, rng, _HARMS)


def break_store_link(found: world.World, rng: random.Random) -> Heal:
    """Harm the link of one host to the store."""
    return _break_link(rng.choice(found.edges).store, rng, _HARMS)


def break_target_link(found: world.World, rng: random.Random) -> Heal:
    """Harm the link of all hosts to one target."""
    return _break_link(rng.choice(found.targets).link, rng, _HARMS)


def pause_host(found: world.World, rng: random.Random) -> Heal:
    """Stop a process by SIGSTOP for a while."""
    process = rng.choice(found.edges).process
    process.pause()
    return process.resume


def kill_host(found: world.World, rng: random.Random) -> Heal:
    """Kill a process; a new one follows."""
    edge = rng.choice(found.edges)
    if not edge.process.is_running:
        return _nothing
    edge.process.kill()
    return edge.start


def restart_host(found: world.World, rng: random.Random) -> Heal:
    """Ask a process to stop; a new one follows."""
    edge = rng.choice(found.edges)
    if not edge.process.is_running:
        return _nothing
    edge.process.resume()
    edge.stop()
    edge.start()
    with contextlib.suppress(processes.NotInTimeError):
        processes.await_condition(edge.is_ready, 'ready', world.READY_WAIT_S)
    return _nothing


def _set_store(name: str, value: typing.Any, usual: typing.Any) -> Fault:
    def fault(found: world.World, rng: random.Random) -> Heal:
        setattr(found.store, name, value)
        return lambda: setattr(found.store, name, usual)

    return fault


def forget_history(found: world.World, rng: random.Random) -> Heal:
    """Have the store drop its history."""
    found.store.forget_history()
    return _nothing


def misbehave(found: world.World, rng: random.Random) -> Heal:
    """Have a target answer wrongly."""
    target = rng.choice(found.targets)
    target.behaviours = [rng.choice(TARGET_FAULTS)]

    def heal() -> None:
        target.behaviours = ['ok']

    return heal


def replace_target(found: world.World, rng: random.Random) -> Heal:
    """Retire a target once another of its pool is there."""
    target = rng.choice(found.targets)
    found.add_target(target.pool, target.zone)
    found.retire(target)
    return _nothing


def change_keys(found: world.World, rng: random.Random) -> Heal:
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
    order = itertools.count()
    open_faults: list[tuple[float, int, Heal]] = []
    while time.monotonic() < ends_s:
        heal = rng.choice(kinds)(found, rng)
        until_s = time.monotonic() + rng.uniform(0.3, 3.0)
        open_faults.append((until_s, next(order), heal))
        time.sleep(rng.uniform(0, 2 * gap_s))
        due = [f for f in open_faults if f[0] <= time.monotonic()]
        for one in due:
            open_faults.remove(one)
            one[2]()
    for *_, heal in open_faults:
        heal()
