"""One of eight endpoints fails part of its orders with a 503 of its own.

With TROUBLE=0 it fails none and all else is the same.
"""

import asyncio
import os
import random
from collections import Counter
from pathlib import Path

from deployment import (
    HOST,
    Endpoint,
    call,
    make_config,
    make_response,
    open_site,
    run_case,
)

FOLDER = Path(__file__).resolve().parent

ENDPOINTS = 8
# One of eight endpoints (srv_grey: a share of 0.14) fails this share of its requests.
FAILING_SHARE = 0.45
ORDERS = 300
PAUSE_S = 0.05
DEADLINE_MS = 1_500
# The machines are calm for longer than stabilityWindowS before the orders.
CALM_S = 4.0


class LedgerEndpoint(Endpoint):
    """An endpoint that applies orders; a failing one can't confirm some of them."""

    failing = False
    rng = random.Random(8)
    # How often each order was applied, at all endpoints.
    applied = Counter()

    async def run(self, request, reader, writer):
        """Apply an order; answer it, or fail after that."""
        self.note_run(request)
        self.applied[request.first] += 1
        await asyncio.sleep(self.work_s)
        if self.failing and self.rng.random() < FAILING_SHARE:
            # It has run, so the answer doesn't say X-Not-Executed.
            body = b"the order's confirmation can't be reached"
            writer.write(make_response(503, self.signed(request), body))
        else:
            writer.write(make_response(200, self.signed(request), self.body(request)))
        return True


async def send_order(record, number, ports, promised):
    """Send an order, and once more after a promise that it has not run."""
    for port in ports:
        attempt = os.urandom(8).hex()
        headers = [
            ("X-Attempt-Id", attempt),
            ("X-Request-Deadline-Ms", str(DEADLINE_MS)),
        ]
        path = f"/orders/{number}"
        record.write(f"order {number} is sent as {attempt}")
        answer = await call(port, "POST", path, headers, b"order")
        status = answer.first.split()[1] if answer is not None else "closed"
        signed = answer is not None and answer.get("X-Upstream-Signature") is not None
        record.write(f"order {number}, {attempt}: {status}, signed {signed}")
        if status not in ("408", "421", "429", "503"):
            return
        promised.add(attempt)
        await asyncio.sleep(float(answer.get("Retry-After", 0)))


async def play(record, trouble):
    """Return whether the rule was broken."""
    async with open_site(record) as site:
        routes = [
            ["r1", HOST, "/orders/", "non_idempotent", 1.5, 0.6, 1, None, 2, "ledger"]
        ]
        services = [["ledger", "/health", 120, None, None]]
        site.store.put("config", "main", make_config(1, routes, services))
        for number in range(ENDPOINTS):
            await site.add_endpoint(LedgerEndpoint, f"e{number}", "ledger")
        site.endpoints["e0"].failing = trouble
        for name in ("gw1", "gw2"):
            await site.add_gateway(name)
        for gateway in site.gateways.values():
            await gateway.wait_ready()
        await asyncio.sleep(CALM_S)
        fronts = [gateway.front for gateway in site.gateways.values()]
        promised = set()
        sending = []
        for number in range(ORDERS):
            ports = fronts if number % 2 else fronts[::-1]
            sending.append(
                asyncio.create_task(send_order(record, number, ports, promised))
            )
            await asyncio.sleep(PAUSE_S)
        await asyncio.wait_for(asyncio.gather(*sending), 20)
        runs = Counter(a for item in site.endpoints.values() for a in item.runs)
        for attempt in sorted(promised):
            if runs[attempt]:
                record.write(f"{attempt} was answered as not run, and has run")
        broken = sum(runs[attempt] > 0 for attempt in promised)
        twice = sum(count > 1 for count in LedgerEndpoint.applied.values())
        record.write(f"orders that were applied twice: {twice}")
        record.write(f"requests that have run, answered as not run: {broken}")
        return broken > 0


run_case(play, FOLDER)
