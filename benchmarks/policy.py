"""Measure the policy under load and faults: fairness, goodput, drains, retries."""

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
CAPACITY = TARGETS * SLOTS * 1000 / SERVICE_MS
CEREMONIES = 40
BASE_SHARE = 0.3
HOT_FACTOR = 10
PULL_RATE = 15.0
WINDOW_S = 12.0
WARM_UP_S = 12.0
LEAVING_S = 3.0
FAIRNESS_BOUND = 1.5
GOODPUT_BOUND = 0.9
FALTER_BOUND = 2.0
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


def lookup(rng: random.Random) -> Call:
    """Return a lookup of one of the ceremonies."""
    key = f"ceremony-{rng.randrange(CEREMONIES)}"
    return Call("GET", f"/desk/{key}", key)


def hot_lookup(rng: random.Random) -> Call:
    """Return a lookup of the hot ceremony."""
    return Call("GET", "/desk/ceremony-0", "ceremony-0")


def night_pull(rng: random.Random) -> Call:
    """Return a pull of a guest list, of the lowest class."""
    key = f"ceremony-{rng.randrange(CEREMONIES)}"
    return Call("GET", f"/desk/guests/{key}", key)


# What the policy replaced: no share by key, no classes, no moves.
PLAIN_POLICY = POLICY | {"keyShare": 1.0, "classes": [], "movesPerMinute": 0}


async def start(
    fleet: Fleet, divided: bool = True, policy: dict[str, object] = POLICY
) -> Path:
    """Start a data centre of slow targets."""
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


def offer(
    fleet: Fleet,
    choose: Callable[[random.Random], Call],
    rate: float,
    seconds: float,
    seed: int,
):
    """Return a load of calls at a rate, with connections to spare."""
    urls = [daemon.url for daemon in fleet.daemons.values()]
    return run_load(
        fleet.session,
        lambda: urls,
        choose,
        seconds=seconds,
        connections=max(8, int(rate)),
        rate=rate,
        seed=seed,
    )


async def measure_fairness(results: Results, seed: int) -> None:
    """Compare lookups beside a hot key and night pulls with quiet ones."""
    plain, _ = await compare_lookups(results, "plain", PLAIN_POLICY, seed)
    results.note("lookups_p99_hot_key_and_pulls_plain_policy", plain, "ratio")
    ratio, late = await compare_lookups(results, "policy", POLICY, seed)
    results.at_most("lookups_p99_hot_key_and_pulls", ratio, "ratio", FAIRNESS_BOUND)
    results.at_most("night_pulls_not_completed", late, "count", 0)


async def compare_lookups(
    results: Results, label: str, policy: dict[str, object], seed: int
) -> tuple[float, int]:
    """Return the ratio of p99 with and without, and the pulls not completed."""
    rate = CAPACITY * BASE_SHARE
    hot_rate = HOT_FACTOR * rate / CEREMONIES
    async with open_fleet() as fleet:
        await start(fleet, policy=policy)
        await offer(fleet, lookup, rate, WARM_UP_S, seed)
        quiet = await offer(fleet, lookup, rate, WINDOW_S, seed)
        await asyncio.gather(
            offer(fleet, lookup, rate, WARM_UP_S, seed),
            offer(fleet, hot_lookup, hot_rate, WARM_UP_S, seed),
        )
        busy, hot, pulls = await asyncio.gather(
            offer(fleet, lookup, rate, WINDOW_S, seed + 1),
            offer(fleet, hot_lookup, hot_rate, WINDOW_S, seed + 2),
            offer(fleet, night_pull, PULL_RATE, WINDOW_S, seed + 3),
        )
    for name, tally in (("quiet", quiet), ("busy", busy), ("hot", hot)):
        results.note(f"lookups_{label}_{name}_p99", tally.percentile_ms(99), "ms")
    ratio = busy.percentile_ms(99) / quiet.percentile_ms(99)
    return ratio, pulls.sent - pulls.answered


async def measure_goodput(results: Results, seed: int) -> None:
    """Compare goodput at twice the capacity with that at capacity."""
    async with open_fleet() as fleet:
        await start(fleet)
        await offer(fleet, lookup, CAPACITY * 0.5, WARM_UP_S, seed)
        full = await offer(fleet, lookup, CAPACITY, WINDOW_S, seed)
        over = await offer(fleet, lookup, CAPACITY * 2, WINDOW_S, seed)
    for name, tally in (("capacity", full), ("twice_capacity", over)):
        results.note(f"goodput_at_{name}", tally.answered / WINDOW_S, "1/s")
        results.note(f"p99_at_{name}", tally.percentile_ms(99), "ms")
    share = over.answered / full.answered
    results.at_least("goodput_at_twice_capacity", share, "ratio", GOODPUT_BOUND)


async def measure_falter(results: Results, seed: int, divided: bool) -> None:
    """Compare p99 with one target ten times slower with the healthy one."""
    kind = "by_key" if divided else "any_target"
    rate = CAPACITY * BASE_SHARE
    async with open_fleet() as fleet:
        await start(fleet, divided)
        await offer(fleet, lookup, rate, WARM_UP_S, seed)
        healthy = await offer(fleet, lookup, rate, WINDOW_S, seed)
        await fleet.set_target_faults("desk-2", slow_factor=10.0)
        await offer(fleet, lookup, rate, WARM_UP_S, seed)
        faltering = await offer(fleet, lookup, rate, WINDOW_S, seed)
    ratio = faltering.percentile_ms(99) / healthy.percentile_ms(99)
    results.at_most(f"p99_with_faltering_target_{kind}", ratio, "ratio", FALTER_BOUND)


async def measure_drains(results: Results, seed: int) -> None:
    """Drain a target, replace all VMs, and lose a target, all under load."""
    rate = CAPACITY * BASE_SHARE
    async with open_fleet() as fleet:
        file = await start(fleet)
        load = asyncio.create_task(offer(fleet, lookup, rate, 10.0, seed))
        await asyncio.sleep(2.0)
        await set_leaving(fleet, file, "desk-1")
        leaving_at = boot_time()
        tally = await load
        late = [
            run
            for journal in await fleet.journals()
            if journal["name"] == "desk-1"
            for run in journal["runs"]
            if run["began"] > leaving_at + LEAVING_S
        ]
        results.at_most("new_work_to_leaving_target", len(late), "count", 0)
        results.at_most(
            "requests_refused_in_drain", tally.sent - tally.answered, "count", 0
        )
        await measure_replacement(results, fleet, rate, seed)
        await measure_retries(results, fleet, rate, seed)


async def set_leaving(fleet: Fleet, file: Path, name: str) -> None:
    """Declare that a target leaves."""
    manifests = orjson.loads(file.read_bytes())
    for manifest in manifests:
        if manifest["name"] == name and manifest["kind"] == "Target":
            manifest["spec"]["leaving"] = True
    file.write_bytes(orjson.dumps(manifests))
    await fleet.apply(file)


async def measure_replacement(
    results: Results, fleet: Fleet, rate: float, seed: int
) -> None:
    """Stop and start every VM in turn under load; count what was cut."""
    in_use = {daemon.vm: daemon.url for daemon in fleet.daemons.values()}
    load = asyncio.create_task(
        run_load(
            fleet.session,
            lambda: list(in_use.values()),
            lookup,
            seconds=VMS * 8.0,
            connections=16,
            rate=rate,
            seed=seed,
        )
    )
    for daemon in list(fleet.daemons.values()):
        await asyncio.sleep(1.0)
        # The balancer stops sending once the VM is no longer ready.
        stopping = asyncio.create_task(stop_process(daemon.process))
        await asyncio.sleep(0.1)
        del in_use[daemon.vm]
        await stopping
        await fleet.start_daemon(daemon)
        await fleet.wait_ready()
        in_use[daemon.vm] = daemon.url
    tally = await load
    report_reasons("replacement", tally)
    cut = tally.sent - tally.answered
    results.at_most("requests_cut_in_rolling_replacement", cut, "count", 0)


async def measure_retries(
    results: Results, fleet: Fleet, rate: float, seed: int
) -> None:
    """Kill a target under load; compare attempts with requests."""
    before = await read_attempts(fleet)
    load = asyncio.create_task(offer(fleet, lookup, rate, 8.0, seed))
    await asyncio.sleep(2.0)
    fleet.target("desk-2").process.kill()
    tally = await load
    report_reasons("target_outage", tally)
    attempts = await read_attempts(fleet) - before
    results.at_most(
        "attempts_a_request_in_outage", attempts / tally.sent, "ratio", RETRY_BOUND
    )


async def read_attempts(fleet: Fleet) -> float:
    """Return the attempts that all daemons have made."""
    total = 0.0
    for daemon in fleet.daemons.values():
        async with fleet.session.get(f"{daemon.admin_url}/metrics") as answer:
            for line in (await answer.text()).splitlines():
                if line.startswith("peridot_attempts "):
                    total += float(line.split()[1])
    return total


def report_reasons(name: str, tally: Tally) -> None:
    """Print why requests were not answered."""
    if tally.reasons:
        print(f"note {name} {dict(tally.reasons)}", flush=True)


async def measure_policy(results: Results, seed: int) -> None:
    """Measure all of the policy."""
    await measure_drains(results, seed)
    await measure_fairness(results, seed)
    await measure_goodput(results, seed)
    await measure_falter(results, seed, divided=True)
    await measure_falter(results, seed, divided=False)
