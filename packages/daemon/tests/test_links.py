"""Test gRPC streams between daemons."""

import asyncio

from grpclib.server import Server

from peridot_daemon.links import open_channel, open_stream
from peridot_daemon.tls import PeerTls
from peridot_fakes.fleet import free_ports
from peridot_wire import peridot_pb2 as pb
from peridot_wire.peridot_grpc import PeerBase


class EndlessPeer(PeerBase):
    """Peer that keeps streams open for ever."""

    async def Sync(self, stream):
        await stream.recv_message()
        await stream.send_message(pb.SyncUpdate(revision=1))
        await asyncio.Event().wait()

    async def Lease(self, stream):
        await self.Sync(stream)

    async def Forward(self, stream):
        await self.Sync(stream)

    async def Promise(self, stream):
        await self.Sync(stream)

    async def Probe(self, stream):
        await self.Sync(stream)


class NoTls(PeerTls):
    """TLS that is off, without settings."""

    def __init__(self):
        self.server = self.client = None


def test_closing_a_stream_does_not_wait_for_the_peer_to_end_it():
    async def scenario():
        (port,) = free_ports(1)
        server = Server([EndlessPeer()])
        await server.start("127.0.0.1", port)
        try:
            async with asyncio.timeout(2.0):
                async with open_channel(f"127.0.0.1:{port}", NoTls()) as stub:
                    async with open_stream(stub.Sync) as stream:
                        await stream.send_message(pb.SyncRequest(), end=True)
                        assert (await stream.recv_message()).revision == 1
                    async with open_stream(stub.Lease) as stream:
                        await stream.send_message(pb.LeaseAsk())
        finally:
            server.close()

    asyncio.run(scenario())
