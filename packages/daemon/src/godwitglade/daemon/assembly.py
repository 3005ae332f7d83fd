"""Assembles the decisions, clients and listeners of a daemon."""

import functools
import random
import typing

import attrs
import statsd

from godwitglade.callers import app as callers_app
from godwitglade.callers import exchanges
from godwitglade.common import clock as clocks
from godwitglade.common import whole_responses
from godwitglade.coordination import hosts
from godwitglade.daemon import context
from godwitglade.daemon import effect_runner
from godwitglade.daemon import gateway
from godwitglade.daemon import logs
from godwitglade.daemon import loop as loops
from godwitglade.daemon import peer_codec
from godwitglade.daemon import servers
from godwitglade.daemon import settings as settings_files
from godwitglade.daemon import settings_types
from godwitglade.daemon import tls
from godwitglade.decisions import components as host_components
from godwitglade.decisions import host as decision_hosts
from godwitglade.decisions import settings as request_settings
from godwitglade.operators import app as operators_app
from godwitglade.operators import parsing
from godwitglade.peers import app as peers_app
from godwitglade.peers import client as peer_client
from godwitglade.peers import receiver as peer_receiver
from godwitglade.peers import replies
from godwitglade.peers import signing
from godwitglade.peers import traffic
from godwitglade.platform import host_list
from godwitglade.platform import objects
from godwitglade.platform import service
from godwitglade.platform import table
from godwitglade.targets import target_client

#: Threads beyond the request limit, so that excess requests are refused
#: without a wait.
SPARE_THREADS = 8
PLATFORM_CONNECTIONS = 8


@attrs.frozen
class Daemon:
    """The assembled daemon, not yet started."""

    loop: loops.Loop
    servers: servers.Servers
    effect_runner: effect_runner.EffectRunner
    logger: typing.Any


def assemble(
    settings: settings_types.Settings, env: context.Environment
) -> Daemon:
    """Return a daemon for ``settings`` whose listeners are not bound."""
    logger = logs.make_logger(
        env.stderr, settings.log_level.value, settings.host, settings.zone
    )
    self_id = hosts.HostId(settings.host, settings.zone, env.clock.wall_ms())
    peers = make_peer_components(self_id, settings, env)
    clients = _make_clients(settings, env, peers)
    exchanges_ = exchanges.Exchanges(str(self_id))
    effect_runner_ = effect_runner.EffectRunner(
        clients,
        exchanges_,
        peers.replies,
        logger,
        _make_metrics(settings),
        settings.threads.targets,
        logs.make_fault_reporter(logger),
    )
    loop = _make_loop(self_id, settings, env, effect_runner_, logger)
    listeners = _make_listeners(
        settings, env, loop, exchanges_, peers, clients, logger
    )
    return Daemon(loop, servers.Servers(listeners), effect_runner_, logger)


@attrs.frozen
class PeerComponents:
    """Components that the client and the listener for peers share."""

    client: peer_client.Client
    replies: replies.PendingReplies
    codec: typing.Any
    signer: signing.Signer
    traffic: traffic.Traffic


def make_peer_components(
    self_id: hosts.HostId,
    settings: settings_types.Settings,
    env: context.Environment,
) -> PeerComponents:
    """Return the components for communication with other hosts.

    Raises SettingsError or UnreadableFileError for an unusable secret.
    """
    secret = settings_files.read_secret(settings.secret, env.variables)
    codec = peer_codec.make_codec()
    signer = signing.Signer(secret, env.clock)
    traffic_ = traffic.Traffic()
    client = peer_client.Client(
        self_id, codec, signer, traffic_, **_peer_transport(settings)
    )
    return PeerComponents(
        client, replies.PendingReplies(), codec, signer, traffic_
    )


def _peer_transport(
    settings: settings_types.Settings,
) -> dict[str, typing.Any]:
    """Return the connection options of the client for other hosts.

    Hosts are addressed by IP number, which their certificates need not name:
    the signature of each message authenticates its sender.
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
    peers: PeerComponents,
) -> effect_runner.Clients:
    manager = whole_responses.TimedPoolManager(
        maxsize=PLATFORM_CONNECTIONS, retries=False, block=False
    )

    def connect(url: str) -> service.Service:
        rng = random.Random(env.rng.getrandbits(64))
        return service.Service(url, manager, env.clock, rng)

    platform = settings.platform
    return effect_runner.Clients(
        targets=target_client.TargetClient(env.clock),
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
    effect_runner_: effect_runner.EffectRunner,
    logger: typing.Any,
) -> loops.Loop:
    components = host_components.make_components(
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
    host = decision_hosts.Host(self_id, components, parsing.parse_document)
    report = logs.make_fault_reporter(logger)
    loop = loops.Loop(
        host,
        env.clock,
        effect_runner_.carry_out,
        lambda _message, error: report(error),
    )
    effect_runner_.post = loop.post
    effect_runner_.start_timer = loop.timers.start
    effect_runner_.stop_loop = loop.stop
    return loop


def _make_listeners(
    settings: settings_types.Settings,
    env: context.Environment,
    loop: loops.Loop,
    exchanges_: exchanges.Exchanges,
    peers: PeerComponents,
    clients: effect_runner.Clients,
    logger: typing.Any,
) -> tuple[servers.Listener, ...]:
    log = functools.partial(logs.log_event, logger)
    callers = callers_app.make_app(
        callers_app.Gateway(
            loop.post,
            exchanges_,
            env.clock,
            lambda: loop.host.is_ready,
            settings.bounds.max_body_bytes,
        )
    )
    operators = operators_app.make_app(
        gateway.HostGateway(
            loop,
            exchanges_,
            clients.table,
            log,
        ),
        settings.tokens,
        env.clock,
    )
    peers_ = peers_app.make_app(
        peer_receiver.Receiver(
            loop.post,
            peers.replies,
            peers.codec,
            peers.signer,
            peers.traffic,
        )
    )
    threads = settings.threads
    make_listener = functools.partial(_make_listener, env.clock, log)
    return (
        make_listener(settings.callers, callers, threads.callers),
        make_listener(settings.operators, operators, threads.operators),
        make_listener(settings.peers, peers_, threads.peers),
    )


def _make_listener(
    clock: clocks.Clock,
    log: tls.Log,
    listener: settings_types.Listener,
    app: typing.Any,
    threads: int,
) -> servers.Listener:
    adapter = tls.make_adapter(listener, clock, log)
    return servers.Listener(*listener.host_and_port, app, threads, adapter)


def _max_requests(settings: settings_types.Settings) -> int:
    """Return the request limit, which leaves threads to refuse more."""
    available = max(1, settings.threads.callers - SPARE_THREADS)
    return min(settings.bounds.max_in_flight, available)
