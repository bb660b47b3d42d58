"""The platform's VM list (peridotd): interface, HTTP client, in-memory list."""

from abc import ABC, abstractmethod
from dataclasses import dataclass
from enum import StrEnum

import orjson
from aiohttp import ClientError, ClientSession, ClientTimeout

from peridot_objects.documents import (
    PARSE_ERRORS,
    load_document,
    parse_items,
    parse_name,
)

CALL_TIMEOUT_S = 2.0


class VmState(StrEnum):
    """The states of a VM in the platform's list."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(frozen=True)
class VmRecord:
    """One entry VM and the peer address of its daemon."""

    name: str
    data_centre: str
    peer_address: str
    state: VmState = VmState.LIVE


@dataclass(frozen=True)
class VmListing:
    """The VMs that the platform lists; the list lags by some seconds."""

    vms: tuple[VmRecord, ...]
    # Why further VMs can't be read.
    unreadable: tuple[str, ...] = ()


@dataclass(frozen=True)
class VmListUnavailable:
    """The VM list couldn't be read."""

    reason: str


VmListOutcome = VmListing | VmListUnavailable


class VmList(ABC):
    """The platform's list of VMs, which lags behind their real states."""

    @abstractmethod
    async def read(self) -> VmListOutcome:
        """Return the VMs that are live or leaving."""


class MemoryVmList(VmList):
    """A VM list in memory, with an outage that tests can inject."""

    def __init__(self, vms: tuple[VmRecord, ...] = ()) -> None:
        self.vms = vms
        self.outage = False

    async def read(self) -> VmListOutcome:
        if self.outage:
            return VmListUnavailable("outage")
        return VmListing(self.vms)


class HttpVmList(VmList):
    """A VM list that is read from the platform over HTTP."""

    def __init__(self, session: ClientSession, url: str) -> None:
        self.session = session
        self.url = url.rstrip("/")

    async def read(self) -> VmListOutcome:
        timeout = ClientTimeout(total=CALL_TIMEOUT_S)
        try:
            async with self.session.get(f"{self.url}/vms", timeout=timeout) as response:
                if response.status != 200:
                    return VmListUnavailable(f"status {response.status}")
                return parse_vms(await response.read())
        except (ClientError, TimeoutError, OSError, *PARSE_ERRORS) as error:
            return VmListUnavailable(repr(error))


def serialize_vms(vms: tuple[VmRecord, ...]) -> bytes:
    """Return a VM list as JSON."""
    return orjson.dumps({"vms": vms})


def parse_vms(text: bytes) -> VmListing:
    """Return the VMs that a JSON document describes."""
    parsed = parse_items(load_document(text)["vms"], _parse_vm)
    return VmListing(parsed.items, parsed.reasons)


def _parse_vm(item: dict) -> VmRecord:
    return VmRecord(
        parse_name(item["name"]),
        parse_name(item["data_centre"]),
        parse_name(item["peer_address"]),
        VmState(item["state"]),
    )
