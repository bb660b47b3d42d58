"""Measure the placer's CPU time for renewing permits over UDP (peridotd mode).

A permit is a VM's lease to send by its tables. The CPU time that renewals take at the
placer grows with the number of VMs in its data centre. Compare the time that one
renewal takes here, over UDP and authenticated by a keyed hash, with the slope that
`make measure` finds over HTTP/2 streams.
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
REQUESTS = 20_000
MAC_KEY = b"k" * 32
MAC_BYTES = 16
RENEWAL_PERIOD_S = 0.15
PORT = 22_900


class RenewalServer(asyncio.DatagramProtocol):
    """Reply to lease requests that arrive as datagrams."""

    def __init__(self, placer: Placer) -> None:
        self.placer = placer

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:
        self.transport = transport

    def datagram_received(self, data: bytes, address: tuple) -> None:
        digest, payload = data[:MAC_BYTES], data[MAC_BYTES:]
        if digest != compute_mac(payload):
            return
        reply = self.placer.renew_permit(
            pb.LeaseAsk.FromString(payload)
        ).SerializeToString()
        self.transport.sendto(compute_mac(reply) + reply, address)


class RenewalClient(asyncio.DatagramProtocol):
    """Signal each reply."""

    def __init__(self) -> None:
        self.reply_received = asyncio.Event()

    def datagram_received(self, data: bytes, address: tuple) -> None:
        self.reply_received.set()


def compute_mac(payload: bytes) -> bytes:
    """Return the keyed hash that authenticates a payload."""
    return hashlib.blake2b(payload, key=MAC_KEY, digest_size=MAC_BYTES).digest()


def build_placer() -> Placer:
    """Return a placer without services that may grant permits."""
    local_instance = DaemonInstance("vm-0", "i-0", "127.0.0.1:1")
    held = HeldTerm(TermRecord(1, local_instance, (), "w"), 1, 0.0, confirmed_from=1e12)

    async def confirm() -> None:
        return

    store = MemoryObjectStore()
    log = MemoryDecisionLog()
    placer = Placer(PlacementState(store, "dc", held, Catalog, confirm, log))
    placer.ready = True
    return placer


def build_lease_request(number: int) -> bytes:
    """Return a lease request of one of the VMs, as an authenticated datagram."""
    vm = f"vm-{number % VMS}"
    request = pb.LeaseAsk(
        vm=vm,
        instance=f"i-{vm}",
        peer_address="127.0.0.1:1",
        ask_id=number,
        term=1,
        live_version=1,
    )
    payload = request.SerializeToString()
    return compute_mac(payload) + payload


async def run() -> None:
    """Print the CPU time of one renewal, and the CPU use for renewals of all VMs."""
    loop = asyncio.get_running_loop()
    placer = build_placer()
    await loop.create_datagram_endpoint(
        lambda: RenewalServer(placer), local_addr=("127.0.0.1", PORT)
    )
    transport, client = await loop.create_datagram_endpoint(
        RenewalClient, remote_addr=("127.0.0.1", PORT)
    )
    requests = [build_lease_request(number) for number in range(REQUESTS)]
    cpu_start_s = time.process_time()
    for request in requests:
        client.reply_received.clear()
        transport.sendto(request)
        await client.reply_received.wait()
    # Includes the client's half of each exchange, as it runs in this process too.
    each_us = (time.process_time() - cpu_start_s) / REQUESTS * 1e6
    cpu_percent = each_us * 1e-6 * VMS / RENEWAL_PERIOD_S * 100
    print(f"note renewal_by_datagram {each_us:.0f} us")
    print(f"note placer_cpu_at_187_vms_by_datagram {cpu_percent:.1f} %")


if __name__ == "__main__":
    uvloop.run(run())
