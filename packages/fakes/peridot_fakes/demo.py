"""Demo of peridotd: stand-ins, twelve daemons, a few thousand requests, a verdict."""

import asyncio
import random
import sys
from pathlib import Path

from absl import app, flags

from peridot_fakes.fleet import Fleet, open_fleet
from peridot_fakes.journals import check_journals
from peridot_fakes.load import Call, Tally, run_load

flags.DEFINE_integer("requests", 4_000, "Number of requests.")
flags.DEFINE_integer("vms", 3, "Daemons in each data centre.")

EXAMPLE = Path("examples/blue-mahoe.jsonc")
DATA_CENTRES = ("jm-south-a", "jm-south-b", "jm-south-c", "jm-south-d")
KEYS = 2_000
CONNECTIONS = 16


def choose_call(rng: random.Random) -> Call:
    """Return a random request: status check, award (non-idempotent) or archive read."""
    key = f"grant-{rng.randrange(KEYS)}"
    kind = rng.random()
    if kind < 0.8:
        return Call("GET", f"/status/{key}", key)
    if kind < 0.9:
        return Call("POST", f"/awards/{key}", key, b"order")
    return Call("GET", f"/archive/{key}", key)


async def run_demo(requests: int, vms: int) -> int:
    """Run the demo; return 0 if every request was answered and no award ran twice."""
    async with open_fleet() as fleet:
        print("demo: starting the platform and the targets", flush=True)
        await fleet.start_platform()
        await fleet.start_targets([EXAMPLE])
        print(f"demo: applying {EXAMPLE}", flush=True)
        await fleet.apply(EXAMPLE)
        total = vms * len(DATA_CENTRES)
        print(f"demo: starting {total} daemons", flush=True)
        await fleet.start_daemons(dict.fromkeys(DATA_CENTRES, vms))
        await fleet.wait_assigned("status-desk")
        print(f"demo: sending {requests} requests by key", flush=True)
        tally = await send_requests(fleet, requests)
        return await report(fleet, tally)


async def send_requests(fleet: Fleet, requests: int) -> Tally:
    """Send the requests to all daemons in turn."""
    urls = [daemon.url for daemon in fleet.daemons.values()]
    return await run_load(
        fleet.session,
        lambda: urls,
        choose_call,
        requests=requests,
        connections=CONNECTIONS,
    )


async def report(fleet: Fleet, tally: Tally) -> int:
    """Check the journals and print the verdict; return the exit code."""
    journals = await fleet.journals()
    findings = check_journals(journals, tally.answered_post_tags, tally.not_run_tags)
    if tally.reasons:
        print(f"demo: not answered: {dict(tally.reasons)}")
    print(
        f"demo: {tally.sent} requests, {tally.answered} answered whole, "
        f"{tally.wrong} wrong, {len(findings.run_twice)} run twice"
    )
    good = tally.answered == tally.sent and not tally.wrong
    return 0 if good and not findings.run_twice and not findings.overlaps else 1


def main(argv: list[str]) -> None:
    """Run the demo."""
    sys.exit(asyncio.run(run_demo(flags.FLAGS.requests, flags.FLAGS.vms)))


if __name__ == "__main__":
    app.run(main)
