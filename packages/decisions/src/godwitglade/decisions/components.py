"""The components of a host and how they are connected."""

import random

import attrs

from godwitglade.coordination import changes
from godwitglade.coordination import claims
from godwitglade.coordination import document_replication
from godwitglade.coordination import facts
from godwitglade.coordination import hosts
from godwitglade.coordination import leases
from godwitglade.coordination import membership
from godwitglade.decisions import host_list_reader
from godwitglade.decisions import orders
from godwitglade.decisions import requests
from godwitglade.decisions import settings as request_settings
from godwitglade.decisions import stopping


@attrs.frozen
class Components:
    """The components of a host, which decide without doing any I/O."""

    members: membership.Membership
    documents: document_replication.Documents
    facts: facts.Facts
    claims: claims.Claims
    changes: changes.Changes
    leases: leases.Leases
    orders: orders.Orders
    requests: requests.Requests
    host_list: host_list_reader.HostListReader
    stopping: stopping.Stopping


def make_components(
    self_id: hosts.HostId,
    address: str,
    rng: random.Random,
    settings: request_settings.RequestSettings,
    wall_offset_ms: int = 0,
    spill_zones: tuple[str, ...] = (),
    drain_ms: int = 0,
) -> Components:
    """Return the components of a host, each with its own random source.

    ``address`` is the address of the host's listener for peers. The other
    arguments are passed to the components that take them.
    """

    def fork() -> random.Random:
        return random.Random(rng.getrandbits(64))

    documents = document_replication.Documents(self_id, fork())
    facts_ = facts.Facts(self_id, fork())
    claims_ = claims.Claims(self_id, fork(), address, wall_offset_ms)
    leases_ = leases.Leases(self_id, fork())
    members = membership.Membership(
        self_id, address, fork(), (documents, facts_)
    )
    orders_ = orders.Orders(
        self_id, fork(), leases_, members.live, wall_offset_ms
    )
    return Components(
        members=members,
        documents=documents,
        facts=facts_,
        claims=claims_,
        changes=changes.Changes(fork()),
        leases=leases_,
        orders=orders_,
        requests=requests.Requests(self_id, fork(), claims_, settings),
        host_list=host_list_reader.HostListReader(
            self_id.zone, spill_zones, fork()
        ),
        stopping=stopping.Stopping(claims_, drain_ms),
    )
