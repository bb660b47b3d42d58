"""Test TLS between daemons of the same and of different authorities."""

import asyncio

import pytest
import trustme
from grpclib.server import Server
from test_links import EndlessPeer

from peridot_daemon.links import LINK_ERRORS, open_channel
from peridot_daemon.settings import Settings
from peridot_daemon.tls import PeerTls
from peridot_fakes.fleet import free_ports
from peridot_placement.decisions import MemoryDecisionLog
from peridot_wire import peridot_pb2 as pb


class AnsweringPeer(EndlessPeer):
    """Peer that replies to probes."""

    async def Probe(self, stream):
        await stream.recv_message()
        await stream.send_message(pb.ProbeReply(vm="vm-1"))


def build_tls(folder, authority, name):
    """Return the TLS contexts of a daemon with a certificate of an authority."""
    files = {part: folder / f"{name}-{part}" for part in ("cert", "key", "ca")}
    issued = authority.issue_cert("127.0.0.1")
    issued.cert_chain_pems[0].write_to_path(files["cert"])
    issued.private_key_pem.write_to_path(files["key"])
    authority.cert_pem.write_to_path(files["ca"])
    settings = Settings(
        vm=name,
        data_centre="dc-a",
        caller_listener="",
        peer_listener="",
        admin_listener="",
        object_api="",
        vm_list="",
        peer_tls_certificate=str(files["cert"]),
        peer_tls_key=str(files["key"]),
        peer_tls_authority=str(files["ca"]),
    )
    return PeerTls(settings, MemoryDecisionLog())


def probe(server_tls, client_tls):
    """Return the reply to a probe of a server by a client."""

    async def scenario():
        (port,) = free_ports(1)
        server = Server([AnsweringPeer()])
        await server.start("127.0.0.1", port, ssl=server_tls.server)
        try:
            async with open_channel(f"127.0.0.1:{port}", client_tls) as stub:
                return await stub.Probe(pb.ProbeRequest(), timeout=2.0)
        finally:
            server.close()

    return asyncio.run(scenario())


def test_peers_with_the_same_authority_connect(tmp_path):
    authority = trustme.CA()
    one = build_tls(tmp_path, authority, "one")
    other = build_tls(tmp_path, authority, "other")
    assert probe(one, other).vm == "vm-1"


def test_peer_with_another_authority_is_rejected(tmp_path):
    one = build_tls(tmp_path, trustme.CA(), "one")
    other = build_tls(tmp_path, trustme.CA(), "other")
    with pytest.raises(LINK_ERRORS):
        probe(one, other)
