"""Measure peridotd's policy: fairness, goodput, slow targets, drains and retries."""

import asyncio
import random
from collections.abc import Callable
from pathlib import Path

import orjson

from benchmarks.results import Results
from peridot_fakes.fleet import Fleet, open_fleet, stop_process
from peridot_fakes.load import Call, Tally, run_load
from peridot_fakes.trials import TrialService, write_manifests
from peridot_placement.clock import boot_time

DATA_CENTRE = "dc-a"
VMS = 3
TARGETS = 4
SLOTS = 3
SERVICE_MS = 40.0
# Requests per second that the targets can process.
CAPACITY = TARGETS * SLOTS * 1000 / SERVICE_MS
KEYS = 40
BASE_LOAD_SHARE = 0.3
# Rate of additional reads of the hot key, as a multiple of a key's mean rate.
HOT_KEY_FACTOR = 10
LOW_PRIORITY_RATE_PER_S = 15.0
WINDOW_S = 12.0
WARM_UP_S = 12.0
# A target gets no new requests once it has been declared leaving for this long.
LEAVING_GRACE_S = 3.0
FAIRNESS_BOUND = 1.5
GOODPUT_BOUND = 0.9
SLOW_TARGET_BOUND = 2.0
RETRY_BOUND = 1.1
POLICY = {
    "deadlineMs": 2000,
    "attemptTimeoutMs": 1500,
    "priority": 8,
    "keyShare": 0.34,
    "movesPerMinute": 600,
    "weights": {"imbalance": 5.0},
    "classes": [{"pathPrefix": "/desk/guests/", "priority": 1}],
}


def read_call(rng: random.Random) -> Call:
    """Return a read of a random key."""
    key = f"ceremony-{rng.randrange(KEYS)}"
    return Call("GET", f"/desk/{key}", key)


def hot_key_read(rng: random.Random) -> Call:
    """Return a read of the hot key."""
    return Call("GET", "/desk/ceremony-0", "ceremony-0")


def low_priority_read(rng: random.Random) -> Call:
    """Return a read of a random key in the class with the lowest priority."""
    key = f"ceremony-{rng.randrange(KEYS)}"
    return Call("GET", f"/desk/guests/{key}", key)


# The earlier policy: no limit per key, no priority classes, no moves.
BASELINE_POLICY = POLICY | {"keyShare": 1.0, "classes": [], "movesPerMinute": 0}


async def start_fleet(
    fleet: Fleet, divided: bool = True, policy: dict[str, object] = POLICY
) -> Path:
    """Start a data centre with targets of known capacity; return their manifests."""
    fleet.service_ms = SERVICE_MS
    service = TrialService(
        "desk",
        TARGETS,
        (DATA_CENTRE,),
        slots=SLOTS,
        divided_by_key=divided,
        policy=policy,
    )
    file = write_manifests(fleet.folder, [service])
    await fleet.start_platform()
    await fleet.start_targets([file], apart=True)
    await fleet.apply(file)
    await fleet.start_daemons({DATA_CENTRE: VMS})
    if divided:
        await fleet.wait_assigned("desk")
    return file


def offer_load(
    fleet: Fleet,
    choose_call: Callable[[random.Random], Call],
    rate: float,
    seconds: float,
    seed: int,
):
    """Send load at a rate (1/s), with enough connections to keep it up."""
    urls = [daemon.url for daemon in fleet.daemons.values()]
    return run_load(
        fleet.session,
        lambda: urls,
        choose_call,
        seconds=seconds,
        connections=max(8, int(rate)),
        rate=rate,
        seed=seed,
    )


async def measure_fairness(results: Results, seed: int) -> None:
    """Compare p99 of reads with and without a hot key and low-priority requests."""
    baseline, _ = await measure_read_latency(results, "plain", BASELINE_POLICY, seed)
    results.note("lookups_p99_hot_key_and_pulls_plain_policy", baseline, "ratio")
    ratio, incomplete = await measure_read_latency(results, "policy", POLICY, seed)
    results.at_most("lookups_p99_hot_key_and_pulls", ratio, "ratio", FAIRNESS_BOUND)
    results.at_most("night_pulls_not_completed", incomplete, "count", 0)


async def measure_read_latency(
    results: Results, label: str, policy: dict[str, object], seed: int
) -> tuple[float, int]:
    """Return the ratio of p99 with a hot key and low-priority requests to p99 without.

    Also returns the number of low-priority requests that were not answered.
    """
    rate = CAPACITY * BASE_LOAD_SHARE
    hot_rate = HOT_KEY_FACTOR * rate / KEYS
    async with open_fleet() as fleet:
        await start_fleet(fleet, policy=policy)
        await offer_load(fleet, read_call, rate, WARM_UP_S, seed)
        quiet = await offer_load(fleet, read_call, rate, WINDOW_S, seed)
        await asyncio.gather(
            offer_load(fleet, read_call, rate, WARM_UP_S, seed),
            offer_load(fleet, hot_key_read, hot_rate, WARM_UP_S, seed),
        )
        busy, hot, low_priority = await asyncio.gather(
            offer_load(fleet, read_call, rate, WINDOW_S, seed + 1),
            offer_load(fleet, hot_key_read, hot_rate, WINDOW_S, seed + 2),
            offer_load(
                fleet, low_priority_read, LOW_PRIORITY_RATE_PER_S, WINDOW_S, seed + 3
            ),
        )
    for name, tally in (("quiet", quiet), ("busy", busy), ("hot", hot)):
        results.note(f"lookups_{label}_{name}_p99", tally.percentile_ms(99), "ms")
    ratio = busy.percentile_ms(99) / quiet.percentile_ms(99)
    return ratio, low_priority.sent - low_priority.answered


async def measure_goodput(results: Results, seed: int) -> None:
    """Compare the goodput at twice the capacity with the goodput at capacity."""
    async with open_fleet() as fleet:
        await start_fleet(fleet)
        await offer_load(fleet, read_call, CAPACITY * 0.5, WARM_UP_S, seed)
        full = await offer_load(fleet, read_call, CAPACITY, WINDOW_S, seed)
        over = await offer_load(fleet, read_call, CAPACITY * 2, WINDOW_S, seed)
    for name, tally in (("capacity", full), ("twice_capacity", over)):
        results.note(f"goodput_at_{name}", tally.answered_in_window / WINDOW_S, "1/s")
        results.note(f"p99_at_{name}", tally.percentile_ms(99), "ms")
    ratio = over.answered_in_window / full.answered_in_window
    results.at_least("goodput_at_twice_capacity", ratio, "ratio", GOODPUT_BOUND)


async def measure_slow_target(results: Results, seed: int, divided: bool) -> None:
    """Compare p99 while one target is ten times slower with p99 before."""
    kind = "by_key" if divided else "any_target"
    rate = CAPACITY * BASE_LOAD_SHARE
    async with open_fleet() as fleet:
        await start_fleet(fleet, divided)
        await offer_load(fleet, read_call, rate, WARM_UP_S, seed)
        healthy = await offer_load(fleet, read_call, rate, WINDOW_S, seed)
        await fleet.set_target_faults("desk-2", slow_factor=10.0)
        await offer_load(fleet, read_call, rate, WARM_UP_S, seed)
        slowed = await offer_load(fleet, read_call, rate, WINDOW_S, seed)
    ratio = slowed.percentile_ms(99) / healthy.percentile_ms(99)
    results.at_most(
        f"p99_with_faltering_target_{kind}", ratio, "ratio", SLOW_TARGET_BOUND
    )


async def measure_membership_changes(results: Results, seed: int) -> None:
    """Drain a target, restart all VMs in turn, and kill a target, all under load."""
    rate = CAPACITY * BASE_LOAD_SHARE
    async with open_fleet() as fleet:
        file = await start_fleet(fleet)
        load = asyncio.create_task(offer_load(fleet, read_call, rate, 10.0, seed))
        await asyncio.sleep(2.0)
        await set_leaving(fleet, file, "desk-1")
        leaving_at = boot_time()
        tally = await load
        late_runs = [
            run
            for journal in await fleet.journals()
            if journal["name"] == "desk-1"
            for run in journal["runs"]
            if run["began"] > leaving_at + LEAVING_GRACE_S
        ]
        results.at_most("new_work_to_leaving_target", len(late_runs), "count", 0)
        results.at_most(
            "requests_refused_in_drain", tally.sent - tally.answered, "count", 0
        )
        await measure_replacement(results, fleet, rate, seed)
        await measure_retries(results, fleet, rate, seed)


async def set_leaving(fleet: Fleet, file: Path, name: str) -> None:
    """Declare a target as leaving."""
    manifests = orjson.loads(file.read_bytes())
    for manifest in manifests:
        if manifest["name"] == name and manifest["kind"] == "Target":
            manifest["spec"]["leaving"] = True
    file.write_bytes(orjson.dumps(manifests))
    await fleet.apply(file)


async def measure_replacement(
    results: Results, fleet: Fleet, rate: float, seed: int
) -> None:
    """Restart every VM in turn under load; count the requests not answered."""
    urls_in_use = {daemon.vm: daemon.url for daemon in fleet.daemons.values()}
    load = asyncio.create_task(
        run_load(
            fleet.session,
            lambda: list(urls_in_use.values()),
            read_call,
            seconds=VMS * 8.0,
            connections=16,
            rate=rate,
            seed=seed,
        )
    )
    for daemon in list(fleet.daemons.values()):
        await asyncio.sleep(1.0)
        # A load balancer stops sending once the VM is no longer ready.
        stopping = asyncio.create_task(stop_process(daemon.process))
        await asyncio.sleep(0.1)
        del urls_in_use[daemon.vm]
        await stopping
        await fleet.start_daemon(daemon)
        await fleet.wait_ready()
        urls_in_use[daemon.vm] = daemon.url
    tally = await load
    print_reasons("replacement", tally)
    unanswered = tally.sent - tally.answered
    results.at_most("requests_cut_in_rolling_replacement", unanswered, "count", 0)


async def measure_retries(
    results: Results, fleet: Fleet, rate: float, seed: int
) -> None:
    """Kill a target under load; measure the attempts per request."""
    before = await count_attempts(fleet)
    load = asyncio.create_task(offer_load(fleet, read_call, rate, 8.0, seed))
    await asyncio.sleep(2.0)
    fleet.target("desk-2").process.kill()
    tally = await load
    print_reasons("target_outage", tally)
    attempts = await count_attempts(fleet) - before
    results.at_most(
        "attempts_a_request_in_outage", attempts / tally.sent, "ratio", RETRY_BOUND
    )


async def count_attempts(fleet: Fleet) -> float:
    """Return the number of attempts that all daemons have made."""
    total = 0.0
    for daemon in fleet.daemons.values():
        async with fleet.session.get(f"{daemon.admin_url}/metrics") as response:
            for line in (await response.text()).splitlines():
                if line.startswith("peridot_attempts "):
                    total += float(line.split()[1])
    return total


def print_reasons(name: str, tally: Tally) -> None:
    """Print the reasons for which requests were not answered."""
    if tally.reasons:
        print(f"note {name} {dict(tally.reasons)}", flush=True)


async def measure_policy(results: Results, seed: int) -> None:
    """Run all measurements of the policy."""
    await measure_membership_changes(results, seed)
    await measure_fairness(results, seed)
    await measure_goodput(results, seed)
    await measure_slow_target(results, seed, divided=True)
    await measure_slow_target(results, seed, divided=False)
