"""Topology of peridotd: homes, assignments and live VMs as this VM knows them."""

from dataclasses import dataclass

from peridot_daemon.leases import LiveVmList
from peridot_daemon.replica import Replica
from peridot_objects.vms import VmState
from peridot_placement.assignments import Assignment, assignment_name
from peridot_placement.slices import HomeTable
from peridot_routing.router import Topology, Vm
from peridot_routing.watcher import TargetWatcher


@dataclass
class ReplicaTopology(Topology):
    """A topology based on the replica and the placer's list of live VMs."""

    vm: str
    data_centre: str
    peer_address: str
    replica: Replica
    live_vm_list: LiveVmList
    watcher: TargetWatcher | None = None

    def home_table(self, service: str) -> HomeTable | None:
        return self.replica.homes.get(service)

    def remote_assignment(self, service: str, data_centre: str) -> Assignment | None:
        return self.replica.assignments.get(assignment_name(service, data_centre))

    def live_vms(self, data_centre: str) -> tuple[int, list[Vm]]:
        if data_centre == self.data_centre and self.live_vm_list.vms:
            return self.live_vm_list.version, self.live_vm_list.vms
        # Negative, so that it never equals a version of the placer's list.
        return -id(self.replica.vms), self.listed_vms(data_centre)

    def listed_vms(self, data_centre: str) -> list[Vm]:
        """Return the VMs that the platform lists as live in a data centre."""
        return [
            Vm(vm.name, vm.peer_address)
            for vm in self.replica.vms
            if vm.data_centre == data_centre and vm.state == VmState.LIVE
        ]

    def lost_targets(self) -> set[str]:
        return self.watcher.lost_targets() if self.watcher else set()
