"""Test where a VM gets the configuration from, and what ends a source."""

import asyncio

from grpclib.server import Server
from test_links import NoTls, UpdatingPeer
from test_replica import stored_policy

from peridot_daemon.messages import serialize_change
from peridot_daemon.metrics import ControlTraffic
from peridot_daemon.replica import Replica
from peridot_daemon.sources import ReplicaSource
from peridot_fakes.fleet import free_ports
from peridot_objects.objects import MemoryObjectStore
from peridot_objects.vms import MemoryVmList
from peridot_placement.decisions import MemoryDecisionLog
from peridot_routing.router import Vm
from peridot_wire import peridot_pb2 as pb

POLICY = stored_policy(1)
LOCAL_VM = Vm("vm1", "127.0.0.1:1")


def make_update(**fields):
    changes = [serialize_change(POLICY)]
    return pb.SyncUpdate(revision=1, changes=changes, from_store=True, **fields)


def follow_until_loaded(peer, store_outage, timeout_s):
    """Run the source of a VM without a VM list until its replica is loaded.

    The peer is the only one in the settings.
    """

    async def session():
        (port,) = free_ports(1)
        server = Server([peer])
        await server.start("127.0.0.1", port)
        store, vm_list, log = MemoryObjectStore(), MemoryVmList(), MemoryDecisionLog()
        await store.write(POLICY.kind, POLICY.name, POLICY.value, 0)
        store.outage = store_outage
        vm_list.outage = True
        replica = Replica(log)
        source = ReplicaSource(
            replica,
            store,
            vm_list,
            LOCAL_VM,
            "dc",
            (f"127.0.0.1:{port}",),
            lambda: [Vm(vm.name, vm.peer_address) for vm in replica.vms],
            NoTls(),
            log,
            ControlTraffic(),
        )
        task = asyncio.create_task(source.run())
        try:
            async with asyncio.timeout(timeout_s):
                while not replica.loaded:
                    await asyncio.wait((task,), timeout=0.01)
                    if task.done():
                        task.result()
        finally:
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
            server.close()
            await server.wait_closed()
        return replica

    return asyncio.run(session())


# Guards against a VM that starts without a configuration in an outage of the platform,
# although a peer of its settings has one.
def test_peers_of_the_settings_are_tried_while_vm_list_and_store_are_away():
    replica = follow_until_loaded(UpdatingPeer(make_update()), True, timeout_s=2.0)
    assert set(replica.catalog.policies) == {"p"}


# Guards against a source that starts again and again: a later version of the peer may
# know more states.
def test_vm_in_an_unknown_state_is_left_out_of_the_vm_list():
    vms = [
        pb.VmRecord(name="vm2", data_centre="dc", state="resting"),
        pb.VmRecord(name="vm3", data_centre="dc", state="live"),
    ]
    peer = UpdatingPeer(make_update(vms=vms))
    replica = follow_until_loaded(peer, True, timeout_s=2.0)
    assert [vm.name for vm in replica.vms] == ["vm3"]
    assert "event=vm_ignored vm=vm2 state=resting" in replica.log.lines


# Guards against a start that is delayed by peers which have no configuration either.
def test_store_is_watched_without_waiting_for_peers_while_the_vm_list_is_away():
    replica = follow_until_loaded(UpdatingPeer(), False, timeout_s=2.0)
    assert set(replica.catalog.policies) == {"p"}
