"""One entry of another writer is cut short; then all gateways are killed.

With TROUBLE=0 there is no such entry and all else is the same.
"""

import asyncio
import os
import random
from pathlib import Path

from deployment import (
    HOST,
    Endpoint,
    Store,
    call,
    make_config,
    make_response,
    open_site,
    run_case,
)

FOLDER = Path(__file__).resolve().parent

# Stands in the stored object for the bytes that the other writer wrote.
PLACEHOLDER = b'"bytes of another writer"'
CUT_SHORT = b'{"service":"ledger","address":"127.0.0.1:1'
ENTRY_NAME = "x-0000"
CALM_S = 4.0
# How long the gateways serve before and after the entry came.
BEFORE_S = 3.0
DOWN_S = 1.0
RECOVERY_S = 15.0
MEASURED_S = 8.0
PAUSE_S = 0.05
DEADLINE_MS = 1_500


class RawStore(Store):
    """A store that hands an entry's bytes out as they were written."""

    async def _call(self, method, target, text):
        answer = await super()._call(method, target, text)
        head, _, body = answer.partition(b"\r\n\r\n")
        if PLACEHOLDER not in body:
            return answer
        body = body.replace(PLACEHOLDER, CUT_SHORT)
        status = int(head.split()[1])
        return make_response(status, [("Content-Type", "application/json")], body)


async def send_orders(record, site, rng, duration_s, phase):
    """Send orders to the gateways for a time; return the share that was served."""
    answers = []

    async def send():
        gateway = rng.choice(list(site.gateways.values()))
        attempt = os.urandom(8).hex()
        headers = [
            ("X-Attempt-Id", attempt),
            ("X-Request-Deadline-Ms", str(DEADLINE_MS)),
        ]
        try:
            answer = await call(gateway.front, "POST", "/orders/o", headers, b"order")
        except OSError:
            answer = None
        status = answer.first.split()[1] if answer is not None else "no answer"
        record.write(f"{phase}: {attempt} to {gateway.name}: {status}")
        answers.append(status)

    sending = []
    for _ in range(int(duration_s / PAUSE_S)):
        sending.append(asyncio.create_task(send()))
        await asyncio.sleep(PAUSE_S)
    await asyncio.gather(*sending)
    share = answers.count("200") / len(answers)
    record.write(f"{phase}: {share:.2f} of {len(answers)} requests are served")
    return share


async def play(record, trouble):
    """Return whether the rule was broken."""
    rng = random.Random(10)
    async with open_site(record) as site:
        site.store = RawStore(record)
        routes = [
            ["r1", HOST, "/orders/", "non_idempotent", 1.5, 0.6, 1, None, 2, "ledger"]
        ]
        services = [["ledger", "/health", 120, None, None]]
        site.store.put("config", "main", make_config(1, routes, services))
        for number in range(4):
            await site.add_endpoint(Endpoint, f"e{number}", "ledger")
        for name in ("gw1", "gw2"):
            await site.add_gateway(name)
        for gateway in site.gateways.values():
            await gateway.wait_ready()
        await asyncio.sleep(CALM_S)
        if trouble:
            record.write(f"another writer's entry: {CUT_SHORT!r}")
            site.store.put("servers", ENTRY_NAME, "bytes of another writer")
        before = await send_orders(record, site, rng, BEFORE_S, "before the kill")
        record.write("all gateways are killed")
        for gateway in site.gateways.values():
            await gateway.end()
        await asyncio.sleep(DOWN_S)
        for gateway in site.gateways.values():
            await gateway.start()
        record.write("all gateways are started again")
        await asyncio.sleep(RECOVERY_S)
        after = await send_orders(record, site, rng, MEASURED_S, "after recoveryS")
        return before >= 0.25 and after < 0.25


run_case(play, FOLDER)
