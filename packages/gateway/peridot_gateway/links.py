"""Links between the VMs of a fleet: one stream from each VM to the placer."""

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager, suppress
from enum import StrEnum
from time import monotonic

from grpclib.client import Channel
from grpclib.exceptions import GRPCError, ProtocolError, StreamTerminatedError
from grpclib.server import Server, Stream

from peridot_daemon.settings import split_address
from peridot_gateway.states import SentState
from peridot_wire import peridot_pb2 as pb
from peridot_wire.peridot_grpc import FleetBase, FleetStub

# Load changes within the time of a request's work.
REPORT_PERIOD_S = 0.25
CONNECT_TIMEOUT_S = 0.4
ASK_TIMEOUT_S = 0.3
# States follow each other by this time at least; changes of ranges come in flocks.
STATE_GAP_S = 0.03
# Members' streams don't hold up the end of the process.
CLOSE_TIMEOUT_S = 0.1
# Three states are missing: the placer is frozen, cut off or gone.
SILENT_S = 0.8
# A member that is silent for this long has left.
MEMBER_SILENT_S = 2.0
LINK_ERRORS = (
    GRPCError,
    ProtocolError,
    StreamTerminatedError,
    ConnectionError,
    TimeoutError,
    OSError,
)


class LinkEnd(StrEnum):
    """Name why a link to a placer ended."""

    BROKEN = "broken"
    REFUSED = "refused"
    RESIGNED = "resigned"
    SILENT = "silent"


class FleetServer(FleetBase):
    """Serve the streams of members."""

    def __init__(
        self,
        take_report: Callable[[pb.FleetReport], None],
        describe: Callable[[str, SentState], pb.FleetState],
        answer: Callable[[], pb.FleetAnswer],
        wait_for_change: Callable[[float], AsyncIterator[None]],
        member_left: Callable[[str, str], None],
    ) -> None:
        self.take_report = take_report
        self.describe = describe
        self.answer = answer
        self.wait_for_change = wait_for_change
        self.member_left = member_left

    async def Join(self, stream: Stream) -> None:
        """Take a member's reports and send it the state."""
        report = await stream.recv_message()
        if report is None:
            return
        vm, instance = report.vm, report.instance
        self.take_report(report)
        sending = asyncio.create_task(self._send_states(stream, vm))
        try:
            while not sending.done():
                async with asyncio.timeout(MEMBER_SILENT_S):
                    report = await stream.recv_message()
                if report is None:
                    return
                self.take_report(report)
        except LINK_ERRORS:
            return
        finally:
            sending.cancel()
            with suppress(asyncio.CancelledError, *LINK_ERRORS):
                await sending
            self.member_left(vm, instance)

    async def Ask(self, stream: Stream) -> None:
        """Tell whether this VM hears a placer."""
        await stream.recv_message()
        await stream.send_message(self.answer())

    async def _send_states(self, stream: Stream, vm: str) -> None:
        sent = SentState()
        while True:
            state = self.describe(vm, sent)
            await stream.send_message(state)
            if not state.leading:
                return
            began = monotonic()
            await self.wait_for_change(REPORT_PERIOD_S)
            await asyncio.sleep(max(0.0, began + STATE_GAP_S - monotonic()))


@asynccontextmanager
async def serve_fleet(server: FleetServer, address: str) -> AsyncIterator[None]:
    """Listen for members while the context lasts."""
    grpc_server = Server([server])
    host, port = split_address(address)
    await grpc_server.start(host, port)
    try:
        yield
    finally:
        grpc_server.close()
        with suppress(TimeoutError):
            async with asyncio.timeout(CLOSE_TIMEOUT_S):
                await grpc_server.wait_closed()


async def follow_placer(
    address: str,
    build_report: Callable[[], pb.FleetReport],
    take_state: Callable[[pb.FleetState], None],
) -> LinkEnd:
    """Report to a placer and take its states until the link ends."""
    channel = Channel(*split_address(address))
    try:
        return await _follow(channel, build_report, take_state)
    except ConnectionRefusedError:
        return LinkEnd.REFUSED
    except TimeoutError:
        return LinkEnd.SILENT
    except LINK_ERRORS:
        return LinkEnd.BROKEN
    finally:
        channel.close()


async def _follow(
    channel: Channel,
    build_report: Callable[[], pb.FleetReport],
    take_state: Callable[[pb.FleetState], None],
) -> LinkEnd:
    async with FleetStub(channel).Join.open() as stream:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            await stream.send_message(build_report())
        reporting = asyncio.create_task(_report(stream, build_report))
        try:
            while True:
                async with asyncio.timeout(SILENT_S):
                    state = await stream.recv_message()
                if state is None:
                    return LinkEnd.BROKEN
                take_state(state)
                if not state.leading:
                    return LinkEnd.RESIGNED
        finally:
            reporting.cancel()
            with suppress(asyncio.CancelledError, *LINK_ERRORS):
                await reporting
            with suppress(*LINK_ERRORS):
                await stream.cancel()


async def _report(stream, build_report: Callable[[], pb.FleetReport]) -> None:
    while True:
        await asyncio.sleep(REPORT_PERIOD_S)
        await stream.send_message(build_report())


async def ask_member(address: str, instance: str) -> pb.FleetAnswer | None:
    """Ask a VM whether it hears the placer; None if it doesn't answer."""
    channel = Channel(*split_address(address))
    try:
        async with asyncio.timeout(ASK_TIMEOUT_S):
            return await FleetStub(channel).Ask(pb.FleetQuestion(instance=instance))
    except LINK_ERRORS:
        return None
    finally:
        channel.close()
