"""Requests that callers send before the previous response (HTTP pipelining).

aiohttp handles the requests of a connection one after the other, which keeps the
responses in order. Here those that may run beside each other are started as they
arrive, and handled with the outcome once it is their turn.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from time import monotonic

from aiohttp import web
from aiohttp.http import RawRequestMessage
from aiohttp.http_writer import StreamWriter

from peridot_gateway.lingering import LingeringTransport
from peridot_gateway.streams import discard_run
from peridot_objects.connections import has_arrived
from peridot_routing.outcomes import Outcome

# Requests of one connection that run beside the one whose response is due.
MAX_STARTED = 8
# aiohttp's own limit of bodies is off; the configuration has one.
UNLIMITED = 0


@dataclass
class Arrival:
    """When a request arrived (s, monotonic), and its run if it has been started."""

    # The parsed request line and headers, kept so that their identity isn't reused.
    message: object
    began: float
    run: asyncio.Task[Outcome] | None = None


class CallerRequest(web.BaseRequest):
    """A caller's request and its arrival."""

    arrival: Arrival


# Starts a request early and returns its run; None if it must wait for its turn.
StartEarly = Callable[[CallerRequest], asyncio.Task[Outcome] | None]


class CallerConnection(web.RequestHandler):
    """A connection of a caller that starts pipelined requests as they arrive."""

    def __init__(self, server: web.Server, start_early: StartEarly, **options) -> None:
        super().__init__(server, **options)
        self.start_early = start_early
        # By the identity of the parsed request line and headers.
        self.arrivals: dict[int, Arrival] = {}

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Note a new connection."""
        super().connection_made(LingeringTransport(transport))

    def is_idle(self) -> bool:
        """Return whether no request has arrived that isn't answered."""
        if self._waiter is None or self._waiter.done() or self._messages:
            return False
        # The event loop may not have read yet what has arrived.
        return self.transport is None or not has_arrived(self.transport)

    def end_reading(self) -> None:
        """Read no more requests, unless the body of one is still arriving."""
        bodies = [payload for _, payload in self._messages]
        if self._current_request is not None:
            bodies.append(self._current_request.content)
        if self.transport is not None and all(body.is_eof() for body in bodies):
            self.transport.end_reading()

    def data_received(self, data: bytes) -> None:
        """Note the arrival of requests, and start those that may run."""
        super().data_received(data)
        now = monotonic()
        for message, _ in self._messages:
            self.arrivals.setdefault(id(message), Arrival(message, now))
        if len(self._messages) > 1 or self._current_request is not None:
            self.start_waiting()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Cancel the requests that run for a caller that has disconnected."""
        super().connection_lost(exc)
        for arrival in self.arrivals.values():
            if arrival.run is not None:
                discard_run(arrival.run)
        self.arrivals.clear()

    def start_waiting(self) -> None:
        """Start requests that wait behind others, up to MAX_STARTED."""
        for message, payload in self._messages:
            if self.count_started() >= MAX_STARTED:
                return
            arrival = self.arrivals.get(id(message))
            if arrival is None or arrival.run is not None or not payload.is_eof():
                continue
            if not isinstance(message, RawRequestMessage):
                # A parser error, which aiohttp responds to when it is its turn.
                return
            request = self.make_request(message, payload)
            request.arrival = arrival
            arrival.run = self.start_early(request)

    def count_started(self) -> int:
        """Return how many requests that wait for their turn have been started."""
        return sum(item.run is not None for item in self.arrivals.values())

    def make_request(self, message, payload) -> CallerRequest:
        """Return a request that isn't the one whose response is due."""
        loop = asyncio.get_running_loop()
        writer = StreamWriter(self, loop)
        return CallerRequest(
            message, payload, self, writer, None, loop, client_max_size=UNLIMITED
        )

    def take_arrival(self, message) -> Arrival:
        """Return the arrival of the request whose turn it is."""
        arrival = self.arrivals.pop(id(message), None)
        return arrival or Arrival(message, monotonic())


class CallerServer(web.Server):
    """Server whose connections start pipelined requests as they arrive."""

    def __init__(self, handler, start_early: StartEarly, **options) -> None:
        super().__init__(handler, request_factory=make_caller_request, **options)
        self.start_early = start_early

    def __call__(self) -> CallerConnection:
        return CallerConnection(self, self.start_early, loop=self._loop, **self._kwargs)


def make_caller_request(message, payload, protocol, writer, task) -> CallerRequest:
    """Return the request whose turn it is on its connection."""
    loop = asyncio.get_running_loop()
    request = CallerRequest(
        message, payload, protocol, writer, task, loop, client_max_size=UNLIMITED
    )
    request.arrival = protocol.take_arrival(message)
    return request
