"""Soak of the gateway mode: random faults by seed under load, and checks of guarantees.

Gateways are processes of their own. The store and the servers, each behind a relay, are
stand-ins in this process.
"""

import asyncio
import random
import sys
from pathlib import Path
from tempfile import TemporaryDirectory

from absl import app, flags

from peridot_fakes.site import COLD_BOUNDS, open_site
from peridot_fakes.sitechecks import SiteChecks
from peridot_fakes.sitefaults import SiteFaults
from peridot_fakes.siteload import SiteLoad
from peridot_fakes.sitestate import GATEWAYS, SoakState, Verdict

FILES_SERVERS = 4
CALLERS = 12
UNEVEN_CALLERS = 4


class SiteSoak:
    """Run load and faults on a site, and check it."""

    def __init__(self, state: SoakState) -> None:
        self.state = state
        self.faults = SiteFaults(state)
        self.checks = SiteChecks(state)
        self.load = SiteLoad(state, self.checks)

    async def run(self, seconds: float) -> Verdict:
        """Run load with faults for a time (s), end all faults and check the results."""
        for _ in range(FILES_SERVERS):
            await self.faults.add_server("files")
        await self.faults.add_server("orders")
        await self.faults.add_server("orders")
        await self.faults.put_configuration()
        self.state.site.gateways.more_bounds = COLD_BOUNDS
        self.state.site.gateways.zones = {"vm-3": "zone-b"}
        for name in GATEWAYS:
            await self.state.site.gateways.start(name)
        background = [
            asyncio.create_task(self.checks.watch_leases()),
            asyncio.create_task(self.faults.copy_store()),
        ]
        background += [
            asyncio.create_task(self.load.send_requests()) for _ in range(CALLERS)
        ]
        background += [
            asyncio.create_task(self.load.send_uneven_requests())
            for _ in range(UNEVEN_CALLERS)
        ]
        ends_at = asyncio.get_running_loop().time() + seconds
        await asyncio.gather(
            self.faults.inject_faults(ends_at),
            self.faults.inject_faults(ends_at),
            self.faults.inject_load_faults(ends_at),
            self.faults.inject_load_faults(ends_at),
        )
        await self.faults.end_all_faults()
        await self.checks.check_served_again()
        for task in background:
            task.cancel()
        await asyncio.gather(*background, return_exceptions=True)
        self.checks.check_cold_servers()
        self.checks.check_evacuations()
        self.checks.check_runs()
        self.checks.check_runs_and_owners()
        self.checks.check_logs()
        return self.state.verdict


async def run_soak(seed: int, seconds: float, folder: Path, few: bool) -> Verdict:
    """Run the soak with one seed, with few or all kinds of faults."""
    async with open_site(folder) as site:
        soak = SiteSoak(SoakState(site, random.Random(seed)))
        if few:
            soak.faults.select_few_faults()
        return await soak.run(seconds)


def main(argv: list[str]) -> None:
    """Run one seed and print the verdict."""
    values = flags.FLAGS
    with TemporaryDirectory() as folder:
        soak = run_soak(values.seed, values.seconds, Path(folder), values.few)
        verdict = asyncio.run(soak)
        if verdict.problems and values.keep_logs:
            for path in Path(folder).glob("*.log"):
                name = f"seed-{values.seed}-{path.name}"
                (Path(values.keep_logs) / name).write_bytes(path.read_bytes())
    print(f"site soak: seed={values.seed} answers={dict(verdict.answers)}")
    print(f"site soak: faults={dict(verdict.faults)}")
    print(f"site soak: checked={dict(verdict.checked)}")
    for detail in verdict.details[:20]:
        print(f"site soak: {detail}")
    print(f"site soak: problems={dict(verdict.problems)}")
    sys.exit(1 if verdict.problems else 0)


if __name__ == "__main__":
    flags.DEFINE_integer("seed", 1, "Seed of load and faults.")
    flags.DEFINE_float("seconds", 30.0, "Time under faults.")
    flags.DEFINE_bool("few", False, "Inject few kinds of faults, drawn by seed.")
    flags.DEFINE_string("keep_logs", "", "Folder for the logs of a seed that failed.")
    app.run(main)
