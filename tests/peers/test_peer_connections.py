"""Tests that the client reuses its connections to all hosts of a fleet."""

import contextlib

import pytest

from bench.standins import edge_platform
from godwitglade.common import clock as clocks
from godwitglade.coordination import bodies
from godwitglade.coordination import effects
from godwitglade.coordination import hosts
from godwitglade.peers import client as clients
from godwitglade.peers import codec as codecs
from godwitglade.peers import signing
from godwitglade.peers import traffic


class Peer(edge_platform.Server):
    def answer(self, request):
        return edge_platform.response(200, {}, b'{}')


@pytest.mark.parametrize('count', [2, 80])
def test_connections_to_all_hosts_are_reused(count):
    client = clients.Client(
        hosts.HostId('h1', 'z1', 1),
        codecs.Codec({'Ping': bodies.Ping}),
        signing.Signer(b'', clocks.Clock()),
        traffic.Traffic(),
    )
    with contextlib.ExitStack() as stack:
        peers = [Peer() for _ in range(count)]
        for peer in peers:
            stack.callback(peer.stop)
        for _ in range(3):
            for peer in peers:
                client.send(
                    effects.SendPeer('t', peer.address, bodies.Ping(), 2_000)
                )
        assert [peer.connections for peer in peers] == [1] * count
        assert all(len(peer.requests) == 3 for peer in peers)
