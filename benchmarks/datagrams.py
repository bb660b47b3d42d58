"""Measure what a permit's renewal would cost the placer over datagrams.

The placer's share of control grows with the VMs of its data centre. This compares
the work of one renewal over UDP, authenticated by a keyed hash, with the slope that
`make measure` finds over streams.
"""

import asyncio
import hashlib
import time

import uvloop

from peridot_objects.objects import MemoryObjectStore
from peridot_placement.decisions import MemoryDecisionLog
from peridot_placement.placement_state import PlacementState
from peridot_placement.placer import Placer
from peridot_placement.terms import DaemonInstance, HeldTerm, TermRecord
from peridot_resources.catalog import Catalog
from peridot_wire import peridot_pb2 as pb

VMS = 187
ASKS = 20_000
KEY = b"k" * 32
DIGEST_BYTES = 16
ASK_PERIOD_S = 0.15
PORT = 22_900


class Renewals(asyncio.DatagramProtocol):
    """Answer asks that arrive as datagrams."""

    def __init__(self, placer: Placer) -> None:
        self.placer = placer

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:
        self.transport = transport

    def datagram_received(self, data: bytes, address: tuple) -> None:
        digest, text = data[:DIGEST_BYTES], data[DIGEST_BYTES:]
        if digest != sign(text):
            return
        reply = self.placer.renew_permit(
            pb.LeaseAsk.FromString(text)
        ).SerializeToString()
        self.transport.sendto(sign(reply) + reply, address)


class Asker(asyncio.DatagramProtocol):
    """Note each answer."""

    def __init__(self) -> None:
        self.answered = asyncio.Event()

    def datagram_received(self, data: bytes, address: tuple) -> None:
        self.answered.set()


def sign(text: bytes) -> bytes:
    """Return the keyed hash of a datagram."""
    return hashlib.blake2b(text, key=KEY, digest_size=DIGEST_BYTES).digest()


def build_placer() -> Placer:
    """Return a placer that has adopted an empty state."""
    local_instance = DaemonInstance("vm-0", "i-0", "127.0.0.1:1")
    held = HeldTerm(TermRecord(1, local_instance, (), "w"), 1, 0.0, confirmed_from=1e12)

    async def confirm() -> None:
        return

    store = MemoryObjectStore()
    log = MemoryDecisionLog()
    placer = Placer(PlacementState(store, "dc", held, Catalog, confirm, log))
    placer.ready = True
    return placer


def build_ask(number: int) -> bytes:
    """Return the ask of one of the VMs, signed."""
    vm = f"vm-{number % VMS}"
    ask = pb.LeaseAsk(
        vm=vm,
        instance=f"i-{vm}",
        peer_address="127.0.0.1:1",
        ask_id=number,
        term=1,
        live_version=1,
    )
    text = ask.SerializeToString()
    return sign(text) + text


async def run() -> None:
    """Print the processor time of one renewal and of all VMs' renewals."""
    loop = asyncio.get_running_loop()
    placer = build_placer()
    await loop.create_datagram_endpoint(
        lambda: Renewals(placer), local_addr=("127.0.0.1", PORT)
    )
    transport, asker = await loop.create_datagram_endpoint(
        Asker, remote_addr=("127.0.0.1", PORT)
    )
    asks = [build_ask(number) for number in range(ASKS)]
    began = time.process_time()
    for ask in asks:
        asker.answered.clear()
        transport.sendto(ask)
        await asker.answered.wait()
    # The asker's half of the exchange runs in this process too.
    each_us = (time.process_time() - began) / ASKS * 1e6
    share = each_us * 1e-6 * VMS / ASK_PERIOD_S * 100
    print(f"note renewal_by_datagram {each_us:.0f} us")
    print(f"note placer_cpu_at_187_vms_by_datagram {share:.1f} %")


if __name__ == "__main__":
    uvloop.run(run())
