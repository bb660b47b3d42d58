"""A planned stop of a gateway while clients receive downloads and ask for more.

With TROUBLE=0 no gateway is stopped and all else is the same.
"""

import asyncio
import os
import random
import signal
import socket
import time
from collections import Counter
from pathlib import Path

from deployment import HOST, Endpoint, make_config, open_site, run_case

FOLDER = Path(__file__).resolve().parent

DOWNLOAD_BYTES = 400_000
DEADLINE_MS = 7_000
CLIENTS = 40
# Clients take 8 KB every 10 ms (6.5 Mbit/s) and have a receive buffer of 16 KB.
PIECE_BYTES, PIECE_PAUSE_S, RECEIVE_BUFFER = 8_192, 0.01, 16_384
# Clients send a further request after this time, with two unanswered at most.
PAUSE_S = (0.3, 0.9)
UNANSWERED = 2
ASK_S = 4.0
# The machines are calm for longer than stabilityWindowS before the stop.
CALM_S = 4.0


class DownloadEndpoint(Endpoint):
    """An endpoint whose answers have 400 KB."""

    def body(self, request):
        """Return a body that consists of the id."""
        attempt = request.get("X-Attempt-Id").encode()
        return (attempt * (DOWNLOAD_BYTES // len(attempt) + 1))[:DOWNLOAD_BYTES]


class Client:
    """A client with one connection that sends requests before the last is answered."""

    def __init__(self, record, number, port, rng):
        self.record, self.number, self.port, self.rng = record, number, port, rng
        self.sent, self.answered = [], 0
        # Whether an answer said that the connection will be closed.
        self.closing = False
        self.end = None
        self.received = b""
        self.stop_asking = asyncio.Event()

    async def play(self):
        """Send requests and read the answers until the connection ends."""
        loop = asyncio.get_running_loop()
        connection = socket.socket()
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER)
        connection.setblocking(False)
        await loop.sock_connect(connection, ("127.0.0.1", self.port))
        asking = asyncio.create_task(self.ask(loop, connection))
        try:
            while not (asking.done() and self.answered == len(self.sent)):
                try:
                    async with asyncio.timeout(0.5):
                        piece = await loop.sock_recv(connection, PIECE_BYTES)
                except TimeoutError:
                    continue
                if not piece:
                    self.end = "closed"
                    return
                self.received += piece
                self.take_answers()
                await asyncio.sleep(PIECE_PAUSE_S)
        except ConnectionError as error:
            # All that had arrived has been read before.
            self.end = repr(error)
        finally:
            asking.cancel()
            await asyncio.gather(asking, return_exceptions=True)
            connection.close()

    async def ask(self, loop, connection):
        """Send requests with pauses, but none once an answer said close."""
        deadline = time.monotonic() + ASK_S
        while time.monotonic() < deadline and not self.closing:
            if len(self.sent) - self.answered < UNANSWERED:
                attempt = os.urandom(8).hex()
                self.sent.append(attempt)
                self.record.write(f"client {self.number} sends {attempt}")
                head = (
                    f"GET /maps/m HTTP/1.1\r\nHost: {HOST}\r\n"
                    f"X-Attempt-Id: {attempt}\r\n"
                    f"X-Request-Deadline-Ms: {DEADLINE_MS}\r\n\r\n"
                )
                try:
                    await loop.sock_sendall(connection, head.encode())
                except OSError:
                    return
            await asyncio.sleep(self.rng.uniform(*PAUSE_S))

    def take_answers(self):
        """Take the whole answers out of what was received."""
        while b"\r\n\r\n" in self.received:
            head, _, rest = self.received.partition(b"\r\n\r\n")
            lines = head.decode("latin-1").lower().split("\r\n")
            fields = dict(line.split(": ", 1) for line in lines[1:])
            self.closing |= fields.get("connection") == "close"
            length = int(fields["content-length"])
            if len(rest) < length:
                return
            self.record.write(
                f"client {self.number} has the answer to {self.sent[self.answered]}: "
                f"{lines[0].split()[1]}, {length} bytes"
            )
            self.answered += 1
            self.received = rest[length:]


async def play(record, trouble):
    """Return whether the rule was broken."""
    rng = random.Random(7)
    async with open_site(record) as site:
        # Of the site that claim.txt names, where it differs.
        site.bounds |= {"ackS": 5, "catchUpS": 6, "drainS": 2.5, "configDeadlineS": 2.5}
        routes = [["r1", HOST, "/maps/", "download", 7, 1.8, 2, None, 2, "maps"]]
        services = [["maps", "/health", 520, None, None]]
        site.store.put("config", "main", make_config(1, routes, services))
        for number in range(4):
            endpoint = await site.add_endpoint(
                DownloadEndpoint, f"e{number}", "maps", work_s=0.05
            )
            endpoint.slots = 20
        for name in ("gw1", "gw2"):
            await site.add_gateway(name)
        for gateway in site.gateways.values():
            await gateway.wait_ready()
        await asyncio.sleep(CALM_S)
        front = site.gateways["gw1"].front
        clients = [Client(record, n, front, rng) for n in range(CLIENTS)]
        playing = [asyncio.create_task(client.play()) for client in clients]
        await asyncio.sleep(0.7)
        stopped_at = time.monotonic()
        if trouble:
            record.write("SIGTERM to gw1")
            site.gateways["gw1"].signal(signal.SIGTERM)
        await asyncio.wait_for(asyncio.gather(*playing), 30)
        took_s = time.monotonic() - stopped_at
        runs = Counter(a for item in site.endpoints.values() for a in item.runs)
        lost = 0
        for client in clients:
            if client.answered == len(client.sent):
                continue
            attempt = client.sent[client.answered]
            behind = "" if client.received else ", sent behind another"
            ran = runs[attempt] > 0
            record.write(
                f"client {client.number}: {client.end}; {attempt} "
                f"{'ran' if ran else 'did not run'}{behind}, "
                f"{len(client.received)} bytes of its answer came"
            )
            lost += ran
        record.write(f"all connections had ended after {took_s:.1f} s")
        record.write(f"requests that were passed on and have no whole answer: {lost}")
        return lost > 0


run_case(play, FOLDER)
