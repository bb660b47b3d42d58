"""Pattern: a faulty system sends bytes without end in place of a response.

Guards against processes that keep them all and run out of memory.
"""

import asyncio
import struct
from contextlib import asynccontextmanager
from time import monotonic

import pytest

from peridot_fakes.endless import ENDLESS, EndlessTarget
from peridot_gateway.links import LinkEndReason, ask_member, follow_placer
from peridot_objects.connections import MAX_RECEIVED_BYTES, open_session
from peridot_objects.http_objects import HttpObjectStore
from peridot_objects.outcomes import StoreUnavailable, WriteUnknown
from peridot_objects.vms import HttpVmList, VmListUnavailable
from peridot_ownership.holds import Grant, Unanswered
from peridot_ownership.ranges import KeyRange
from peridot_placement.grants import GrantFailed, HttpTargetClient
from peridot_platform import holds
from peridot_platform.holds import PlatformLeaseClient
from peridot_platform.store import PlatformObjectStore
from peridot_resources.configuration import TargetInstance
from peridot_wire import peridot_pb2 as pb

# Far below the timeouts of the calls.
ABORT_TIMEOUT_S = 1.0
CALL_TIMEOUT_S = 5.0
# What the kernel and the sender hold on their way.
UNREAD_BYTES = 8 * 2**20
KEYS = KeyRange(0, 100)


def compose_frame(kind: int, flags: int, stream: int, payload: bytes = b"") -> bytes:
    """Return an HTTP/2 frame."""
    head = struct.pack(">I", len(payload))[1:] + bytes((kind, flags))
    return head + struct.pack(">I", stream) + payload


SETTINGS = compose_frame(4, 0, 0)
GRPC_HEADERS = compose_frame(1, 4, 1, b"\x88\x0f\x10\x10application/grpc")
# HTTP/2 that a gRPC client can read.
ENDLESS_FRAMES = {
    "settings": (b"", SETTINGS * 1000),
    "pings": (SETTINGS, compose_frame(6, 0, 0, bytes(8)) * 1000),
    "a message of 4 GB": (
        SETTINGS + GRPC_HEADERS + compose_frame(0, 0, 1, b"\0" + b"\xff" * 4),
        compose_frame(0, 0, 1, bytes(16_384)),
    ),
    "headers": (SETTINGS, compose_frame(1, 0, 1, bytes(16_384)) * 4),
    "unknown frames": (SETTINGS, compose_frame(99, 0, 0, bytes(16_384))),
}


@asynccontextmanager
async def serve_endless(start, block):
    target = EndlessTarget(start, block)
    server = await asyncio.start_server(target.serve, "127.0.0.1", 0)
    async with server:
        host, port = server.sockets[0].getsockname()
        yield target, f"{host}:{port}"
        async with asyncio.timeout(1):
            while target.open_connections:
                await asyncio.sleep(0.01)


def make_target(address):
    return TargetInstance("t", "files", address, "a", 3, False, 0.0, 1)


async def call_store(call, address):
    store = PlatformObjectStore(address)
    try:
        return await call(store)
    finally:
        await store.close()


async def call_target(call, address):
    client = PlatformLeaseClient()
    try:
        return await call(client, make_target(address))
    finally:
        await client.close()


async def call_with_session(call, address):
    async with open_session() as session:
        return await call(session, address)


STORE_CALLS = {
    "list": (lambda store: store.list(["servers"]), StoreUnavailable),
    "read": (lambda store: store.read("servers", "a"), StoreUnavailable),
    "write": (lambda store: store.write("servers", "a", b"{}", 0), WriteUnknown),
    "watch": (lambda store: store.watch(["servers"], 1, 5.0), StoreUnavailable),
}
TARGET_CALLS = {
    "grant": lambda client, target: client.grant(
        target, Grant(KEYS, 1, 4.0), CALL_TIMEOUT_S
    ),
    "release": lambda client, target: client.release(target, KEYS, 1, CALL_TIMEOUT_S),
}
PERIDOTD_CALLS = {
    "list": (
        lambda session, to: HttpObjectStore(session, f"http://{to}").list(["Home"]),
        StoreUnavailable,
    ),
    "vms": (
        lambda session, to: HttpVmList(session, f"http://{to}").read(),
        VmListUnavailable,
    ),
    "probe": (lambda session, to: HttpTargetClient(session).probe(to), GrantFailed),
}


def check(endless, call, address_call, expected, max_bytes):
    async def scenario():
        async with serve_endless(*endless) as (target, address):
            began = monotonic()
            outcome = await address_call(call, address)
            assert isinstance(outcome, expected), outcome
            assert monotonic() - began < ABORT_TIMEOUT_S
            assert target.sent < max_bytes + UNREAD_BYTES

    asyncio.run(scenario())


@pytest.mark.parametrize("kind", ENDLESS)
@pytest.mark.parametrize("call", STORE_CALLS)
def test_an_endless_response_of_the_store_is_aborted(call, kind):
    call, expected = STORE_CALLS[call]
    expected = expected | WriteUnknown if kind == "body of a failure" else expected
    check(ENDLESS[kind], call, call_store, expected, MAX_RECEIVED_BYTES)


@pytest.mark.parametrize("kind", ENDLESS)
@pytest.mark.parametrize("call", TARGET_CALLS)
def test_an_endless_response_to_a_grant_or_release_is_aborted(call, kind):
    check(
        ENDLESS[kind],
        TARGET_CALLS[call],
        call_target,
        Unanswered,
        holds.MAX_RECEIVED_BYTES,
    )


@pytest.mark.parametrize("kind", ENDLESS)
@pytest.mark.parametrize("call", PERIDOTD_CALLS)
def test_an_endless_response_to_peridotd_is_aborted(call, kind):
    call, expected = PERIDOTD_CALLS[call]
    check(ENDLESS[kind], call, call_with_session, expected, MAX_RECEIVED_BYTES)


@pytest.mark.parametrize("kind", ENDLESS | ENDLESS_FRAMES)
def test_an_endless_response_of_a_peer_is_aborted(kind):
    async def scenario():
        endless = (ENDLESS | ENDLESS_FRAMES)[kind]
        async with serve_endless(*endless) as (target, address):
            began = monotonic()
            reason = await follow_placer(address, pb.FleetReport, lambda state: None)
            assert reason in (LinkEndReason.BROKEN, LinkEndReason.SILENT)
            assert await ask_member(address, "i") is None
            assert monotonic() - began < 2 * ABORT_TIMEOUT_S
            assert target.sent < 2 * MAX_RECEIVED_BYTES

    asyncio.run(scenario())
