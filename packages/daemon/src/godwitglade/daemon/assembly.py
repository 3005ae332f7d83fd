"""Joins the decisions, clients and listeners of a daemon."""

import functools
import random
import typing

import attrs
import statsd
import urllib3

from godwitglade.callers import app as callers_app
from godwitglade.callers import exchanges
from godwitglade.common import clock as clocks
from godwitglade.coordination import hosts
from godwitglade.daemon import context
from godwitglade.daemon import effector
from godwitglade.daemon import gateway
from godwitglade.daemon import logs
from godwitglade.daemon import loop as loops
from godwitglade.daemon import peer_codec
from godwitglade.daemon import servers
from godwitglade.daemon import settings as settings_files
from godwitglade.daemon import settings_types
from godwitglade.daemon import tls
from godwitglade.decisions import host as deciders
from godwitglade.decisions import parts as host_parts
from godwitglade.decisions import settings as request_settings
from godwitglade.operators import app as operators_app
from godwitglade.operators import parsing
from godwitglade.peers import app as peers_app
from godwitglade.peers import client as peer_client
from godwitglade.peers import replies
from godwitglade.peers import signing
from godwitglade.peers import traffic
from godwitglade.platform import host_list
from godwitglade.platform import objects
from godwitglade.platform import service
from godwitglade.platform import table
from godwitglade.targets import calls

#: Threads kept beyond the bound on requests, to refuse the rest at once.
SPARE_THREADS = 8
PLATFORM_CONNECTIONS = 8


@attrs.frozen
class Daemon:
    """The assembled daemon, not yet started."""

    loop: loops.Loop
    servers: servers.Servers
    effector: effector.Effector
    logger: typing.Any


def assemble(
    settings: settings_types.Settings, env: context.Environment
) -> Daemon:
    """Return a daemon for ``settings``; nothing is bound yet."""
    logger = logs.make_logger(
        env.stderr, settings.log_level.value, settings.host, settings.zone
    )
    self_id = hosts.HostId(settings.host, settings.zone, env.clock.wall_ms())
    peers = make_peers(self_id, settings, env)
    clients = _make_clients(settings, env, peers)
    waiting = exchanges.Exchanges(str(self_id))
    effector_ = effector.Effector(
        clients,
        waiting,
        peers.replies,
        logger,
        _make_metrics(settings),
        settings.threads.targets,
        logs.fault_reporter(logger),
    )
    loop = _make_loop(self_id, settings, env, effector_, logger)
    listeners = _make_listeners(
        settings, env, loop, waiting, peers, clients, logger
    )
    return Daemon(loop, servers.Servers(listeners), effector_, logger)


@attrs.frozen
class Peers:
    """What the client and the listener for other hosts share."""

    client: peer_client.Client
    replies: replies.Replies
    codec: typing.Any
    signer: signing.Signer
    traffic: traffic.Traffic


def make_peers(
    self_id: hosts.HostId,
    settings: settings_types.Settings,
    env: context.Environment,
) -> Peers:
    """Return what talks to other hosts for ``self_id``.

    Raises SettingsError and UnreadableFileError for the secret.
    """
    secret = settings_files.read_secret(settings.secret, env.variables)
    codec = peer_codec.make_codec()
    signer = signing.Signer(secret, env.clock)
    counted = traffic.Traffic()
    client = peer_client.Client(
        self_id, codec, signer, counted, **_peer_transport(settings)
    )
    return Peers(client, replies.Replies(), codec, signer, counted)


def _peer_transport(
    settings: settings_types.Settings,
) -> dict[str, typing.Any]:
    """Return how the client for other hosts connects.

    Hosts are called by IP number, which their certificates need not name:
    the signature of each message proves its sender.
    """
    if not settings.peers.has_tls:
        return {'scheme': 'http'}
    return {
        'scheme': 'https',
        'ca_certs': settings.peers_ca_path,
        'assert_hostname': False,
    }


def _make_clients(
    settings: settings_types.Settings,
    env: context.Environment,
    peers: Peers,
) -> effector.Clients:
    manager = urllib3.PoolManager(
        maxsize=PLATFORM_CONNECTIONS, retries=False, block=False
    )

    def connect(url: str) -> service.Service:
        rng = random.Random(env.rng.getrandbits(64))
        return service.Service(url, manager, env.clock, rng)

    platform = settings.platform
    return effector.Clients(
        targets=calls.TargetClient(env.clock),
        table=table.TableClient(connect(platform.table_url)),
        objects=objects.ObjectClient(connect(platform.objects_url)),
        host_list=host_list.HostListClient(connect(platform.host_list_url)),
        peers=peers.client,
    )


def _make_metrics(
    settings: settings_types.Settings,
) -> statsd.StatsClient | None:
    if settings.statsd_address is None:
        return None
    host, port = settings_types.split_address(settings.statsd_address)
    return statsd.StatsClient(host, port, prefix='godwitglade')


def _make_loop(
    self_id: hosts.HostId,
    settings: settings_types.Settings,
    env: context.Environment,
    effector_: effector.Effector,
    logger: typing.Any,
) -> loops.Loop:
    parts = host_parts.make_parts(
        self_id,
        settings.peers.address,
        random.Random(env.rng.getrandbits(64)),
        request_settings.RequestSettings(
            max_jobs=_max_requests(settings),
            max_queued_per_pool=settings.bounds.max_queued,
        ),
        env.clock.wall_ms() - env.clock.monotonic_ms(),
        settings.platform.spill_zones,
        settings.bounds.drain_ms,
    )
    host = deciders.Host(self_id, parts, parsing.parse_document)
    report = logs.fault_reporter(logger)
    loop = loops.Loop(
        host,
        env.clock,
        effector_.carry_out,
        lambda _message, error: report(error),
    )
    effector_.post = loop.post
    effector_.start_timer = loop.timers.start
    effector_.exit_ = loop.stop
    return loop


def _make_listeners(
    settings: settings_types.Settings,
    env: context.Environment,
    loop: loops.Loop,
    waiting: exchanges.Exchanges,
    peers: Peers,
    clients: effector.Clients,
    logger: typing.Any,
) -> tuple[servers.Listener, ...]:
    log = functools.partial(logs.log_event, logger)
    callers = callers_app.make_app(
        callers_app.Gateway(
            loop.post,
            waiting,
            env.clock,
            lambda: loop.host.is_ready,
            settings.bounds.max_body_bytes,
        )
    )
    operators = operators_app.make_app(
        gateway.HostGateway(
            loop,
            waiting,
            clients.table,
            log,
        ),
        settings.tokens,
        env.clock,
    )
    peers_ = peers_app.make_app(
        peers_app.Gateway(
            loop.post,
            peers.replies,
            peers.codec,
            peers.signer,
            peers.traffic,
        )
    )
    threads = settings.threads
    listen = functools.partial(_listen, env.clock, log)
    return (
        listen(settings.callers, callers, threads.callers),
        listen(settings.operators, operators, threads.operators),
        listen(settings.peers, peers_, threads.peers),
    )


def _listen(
    clock: clocks.Clock,
    log: tls.Log,
    listener: settings_types.Listener,
    app: typing.Any,
    threads: int,
) -> servers.Listener:
    adapter = tls.make_adapter(listener, clock, log)
    return servers.Listener(*listener.host_and_port, app, threads, adapter)


def _max_requests(settings: settings_types.Settings) -> int:
    """Return the bound on requests that leaves threads to refuse more."""
    spare = max(1, settings.threads.callers - SPARE_THREADS)
    return min(settings.bounds.max_in_flight, spare)
