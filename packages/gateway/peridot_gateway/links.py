"""Links of the gateway: a gRPC stream from each VM of the fleet to the placer."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
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

# Load changes within the processing time of a request.
REPORT_PERIOD_S = 0.25
CONNECT_TIMEOUT_S = 0.4
ASK_TIMEOUT_S = 0.3
# Minimum time between states; changes of ranges come in bursts.
MIN_STATE_INTERVAL_S = 0.03
# Minimum time between reports, which requests for cold targets bring forward.
MIN_REPORT_INTERVAL_S = 0.05
# Open streams of members must not delay the end of the process.
CLOSE_TIMEOUT_S = 0.1
# Three states are missing: the placer is hung, cut off or down.
HEARTBEAT_TIMEOUT_S = 0.8
# A member that sends no report for this long has left.
MEMBER_TIMEOUT_S = 2.0
LINK_ERRORS = (
    GRPCError,
    ProtocolError,
    StreamTerminatedError,
    ConnectionError,
    TimeoutError,
    OSError,
)


class LinkEndReason(StrEnum):
    """Why a link to a placer ended."""

    BROKEN = "broken"
    REFUSED = "refused"
    RESIGNED = "resigned"
    SILENT = "silent"


class FleetServer(FleetBase):
    """gRPC service for the members' streams and for questions of other VMs."""

    def __init__(
        self,
        handle_report: Callable[[pb.FleetReport], bool],
        build_state: Callable[[str, SentState], pb.FleetState],
        build_answer: Callable[[], pb.FleetAnswer],
        wait_for_change: Callable[[float], AsyncIterator[None]],
        remove_member: Callable[[str, str], None],
    ) -> None:
        self.handle_report = handle_report
        self.build_state = build_state
        self.build_answer = build_answer
        self.wait_for_change = wait_for_change
        self.remove_member = remove_member
        # Whether members have waited for states; before, nothing else brings them on.
        self.has_waiting = False

    async def Join(self, stream: Stream) -> None:
        """Handle a member's reports and send it the placer's states."""
        report = await stream.recv_message()
        if report is None:
            return
        vm, instance = report.vm, report.instance
        state_due = asyncio.Event()
        self.handle_report(report)
        state_sender = asyncio.create_task(self._send_states(stream, vm, state_due))
        try:
            while not state_sender.done():
                async with asyncio.timeout(MEMBER_TIMEOUT_S):
                    report = await stream.recv_message()
                if report is None:
                    return
                if self.handle_report(report):
                    self.has_waiting = True
                    state_due.set()
        except LINK_ERRORS:
            return
        finally:
            state_sender.cancel()
            with suppress(asyncio.CancelledError, *LINK_ERRORS):
                await state_sender
            self.remove_member(vm, instance)

    async def Ask(self, stream: Stream) -> None:
        """Answer whether this VM is connected to a placer."""
        await stream.recv_message()
        await stream.send_message(self.build_answer())

    async def _send_states(
        self, stream: Stream, vm: str, state_due: asyncio.Event
    ) -> None:
        sent = SentState()
        while True:
            state = self.build_state(vm, sent)
            await stream.send_message(state)
            if not state.leading:
                return
            began = monotonic()
            if self.has_waiting:
                await self._wait_until_due(state_due)
            else:
                await self.wait_for_change(REPORT_PERIOD_S)
            await asyncio.sleep(max(0.0, began + MIN_STATE_INTERVAL_S - monotonic()))

    async def _wait_until_due(self, state_due: asyncio.Event) -> None:
        """Return at a change, after a period, or when a member waits for a state."""
        waits = [
            asyncio.ensure_future(self.wait_for_change(REPORT_PERIOD_S)),
            asyncio.ensure_future(state_due.wait()),
        ]
        try:
            await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for wait in waits:
                wait.cancel()
        state_due.clear()


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
    handle_state: Callable[[pb.FleetState], None],
    wait_for_report: Callable[[float], Awaitable[None]] = asyncio.sleep,
) -> LinkEndReason:
    """Send reports to a placer and handle its states until the link ends."""
    channel = Channel(*split_address(address))
    try:
        return await _follow(channel, build_report, handle_state, wait_for_report)
    except ConnectionRefusedError:
        return LinkEndReason.REFUSED
    except TimeoutError:
        return LinkEndReason.SILENT
    except LINK_ERRORS:
        return LinkEndReason.BROKEN
    finally:
        channel.close()


async def _follow(
    channel: Channel,
    build_report: Callable[[], pb.FleetReport],
    handle_state: Callable[[pb.FleetState], None],
    wait_for_report: Callable[[float], Awaitable[None]],
) -> LinkEndReason:
    async with FleetStub(channel).Join.open() as stream:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            await stream.send_message(build_report())
        report_sender = asyncio.create_task(
            _send_reports(stream, build_report, wait_for_report)
        )
        try:
            while True:
                async with asyncio.timeout(HEARTBEAT_TIMEOUT_S):
                    state = await stream.recv_message()
                if state is None:
                    return LinkEndReason.BROKEN
                handle_state(state)
                if not state.leading:
                    return LinkEndReason.RESIGNED
        finally:
            report_sender.cancel()
            with suppress(asyncio.CancelledError, *LINK_ERRORS):
                await report_sender
            with suppress(*LINK_ERRORS):
                await stream.cancel()


async def _send_reports(
    stream,
    build_report: Callable[[], pb.FleetReport],
    wait_for_report: Callable[[float], Awaitable[None]],
) -> None:
    while True:
        await asyncio.sleep(MIN_REPORT_INTERVAL_S)
        await wait_for_report(REPORT_PERIOD_S - MIN_REPORT_INTERVAL_S)
        await stream.send_message(build_report())


async def ask_member(address: str, instance: str) -> pb.FleetAnswer | None:
    """Ask a VM whether it follows the placer; return None if it doesn't answer."""
    channel = Channel(*split_address(address))
    try:
        async with asyncio.timeout(ASK_TIMEOUT_S):
            return await FleetStub(channel).Ask(pb.FleetQuestion(instance=instance))
    except LINK_ERRORS:
        return None
    finally:
        channel.close()
