"""Test gRPC streams between daemons."""

import asyncio

from grpclib.server import Server
from test_messages import CATALOG

from peridot_daemon.links import PeerLink, open_channel, open_stream
from peridot_daemon.messages import parse_request, serialize_outcome
from peridot_daemon.peers import PeerServer
from peridot_daemon.tls import PeerTls
from peridot_fakes.fleet import free_ports
from peridot_routing.outcomes import Answered
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


class UpdatingPeer(EndlessPeer):
    """A peer that sends updates, then nothing."""

    def __init__(self, *updates):
        self.updates = updates

    async def Sync(self, stream):
        await stream.recv_message()
        for update in self.updates:
            await stream.send_message(update)
        await asyncio.Event().wait()


class NoTls(PeerTls):
    """TLS that is off, without settings."""

    def __init__(self):
        self.server = self.client = None


class WaitingRouter:
    """Router whose requests wait until they are cancelled, and are counted."""

    def __init__(self):
        self.waiting = set()
        self.started = asyncio.Event()

    async def dispatch_locally(self, request, target):
        self.waiting.add(request.method)
        if len(self.waiting) == 2:
            self.started.set()
        try:
            await asyncio.Event().wait()
        finally:
            self.waiting.discard(request.method)


# Guards against copies of a request that wait for a slot at a front that was given up:
# the entry VM repeats idempotent ones through the next front. Others run to their end.
def test_idempotent_requests_end_with_the_link_that_brought_them():
    async def scenario():
        (port,) = free_ports(1)
        router = WaitingRouter()
        peer = PeerServer(None, None, None, router, lambda: CATALOG, None)
        server = Server([peer])
        await server.start("127.0.0.1", port)
        try:
            async with asyncio.timeout(2.0):
                async with open_channel(f"127.0.0.1:{port}", NoTls()) as stub:
                    async with open_stream(stub.Forward) as stream:
                        for call_id, method in enumerate(("GET", "POST"), 1):
                            await stream.send_message(
                                pb.ForwardRequest(
                                    id=call_id,
                                    service="s",
                                    method=method,
                                    path="/s/x",
                                    key="k",
                                    deadline_ms=30_000,
                                )
                            )
                        await router.started.wait()
                while "GET" in router.waiting:
                    await asyncio.sleep(0.01)
                assert router.waiting == {"POST"}
        finally:
            server.close()

    asyncio.run(scenario())


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


class CopyingPeer(EndlessPeer):
    """Peer that repeats its reply before that to the next request."""

    async def Forward(self, stream):
        await stream.send_initial_metadata()
        copy = None
        async for request in stream:
            if copy is not None:
                await stream.send_message(copy)
            outcome = Answered(200, (), request.path.encode(), "t")
            copy = serialize_outcome(outcome, request.id)
            await stream.send_message(copy)


# Guards against a late copy of a reply that counts as that to the next request.
def test_a_copy_of_a_reply_is_not_taken_for_that_to_the_next_request():
    async def scenario():
        (port,) = free_ports(1)
        server = Server([CopyingPeer()])
        await server.start("127.0.0.1", port)
        link = PeerLink(f"127.0.0.1:{port}", NoTls())
        try:
            async with asyncio.timeout(2.0):
                for path in ("/s/1", "/s/2", "/s/3"):
                    message = pb.ForwardRequest(
                        service="s", method="GET", path=path, key="k", deadline_ms=1_000
                    )
                    request = parse_request(message, CATALOG)
                    outcome = await link.forward(request, "t")
                    assert outcome.body == path.encode()
        finally:
            await link.close()
            server.close()

    asyncio.run(scenario())
