"""VM list: an abstract list, its in-memory kind and its HTTP kind."""

from abc import ABC, abstractmethod
from dataclasses import dataclass
from enum import StrEnum

import orjson
from aiohttp import ClientError, ClientSession, ClientTimeout

CALL_TIMEOUT_S = 2.0


class VmState(StrEnum):
    """Name the states that the platform gives a VM."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(frozen=True)
class VmRecord:
    """Describe one daemon on an entry VM."""

    name: str
    data_centre: str
    peer_address: str
    state: VmState = VmState.LIVE


@dataclass(frozen=True)
class VmListing:
    """Hold the VMs that the platform knows, some seconds late."""

    vms: tuple[VmRecord, ...]


@dataclass(frozen=True)
class VmListUnavailable:
    """Tell that the VM list couldn't be read."""

    reason: str


VmListOutcome = VmListing | VmListUnavailable


class VmList(ABC):
    """Read the platform's lagging list of VMs."""

    @abstractmethod
    async def read(self) -> VmListOutcome:
        """Return the live and leaving VMs."""


class MemoryVmList(VmList):
    """Keep the list in memory."""

    def __init__(self, vms: tuple[VmRecord, ...] = ()) -> None:
        self.vms = vms
        self.outage = False

    async def read(self) -> VmListOutcome:
        if self.outage:
            return VmListUnavailable("outage")
        return VmListing(self.vms)


class HttpVmList(VmList):
    """Call the platform's VM list."""

    def __init__(self, session: ClientSession, url: str) -> None:
        self.session = session
        self.url = url.rstrip("/")

    async def read(self) -> VmListOutcome:
        timeout = ClientTimeout(total=CALL_TIMEOUT_S)
        try:
            async with self.session.get(f"{self.url}/vms", timeout=timeout) as answer:
                if answer.status != 200:
                    return VmListUnavailable(f"status {answer.status}")
                return VmListing(parse_vms(await answer.read()))
        except (ClientError, TimeoutError, OSError, ValueError, KeyError) as error:
            return VmListUnavailable(repr(error))


def serialize_vms(vms: tuple[VmRecord, ...]) -> bytes:
    """Return the JSON form of a VM list."""
    return orjson.dumps({"vms": vms})


def parse_vms(text: bytes) -> tuple[VmRecord, ...]:
    """Return the VM list that a JSON form describes."""
    return tuple(
        VmRecord(
            item["name"],
            item["data_centre"],
            item["peer_address"],
            VmState(item["state"]),
        )
        for item in orjson.loads(text)["vms"]
    )
