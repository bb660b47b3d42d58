"""Soak of peridotd: random faults by seed under load, then checks of the journals."""

import asyncio
import random
import signal
import sys
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path
from time import monotonic

import orjson
from absl import app, flags
from aiohttp import ClientError

from peridot_ctl import porcelain
from peridot_fakes.fleet import DaemonProcess, Fleet, is_running, open_fleet
from peridot_fakes.journals import Findings, check_journals, find_lost_assignments
from peridot_fakes.load import Call, Tally, run_load
from peridot_fakes.trials import TrialService, write_manifests

DATA_CENTRES = ("dc-a", "dc-b")
VMS = 3
KEYS = 300
CONNECTIONS = 24
REQUESTS_PER_S = 250.0
# The load goes on for this long after the last fault.
FINAL_FAULT_FREE_S = 5.0
REVISION_POLL_PERIOD_S = 0.2
POLICY = {
    "deadlineMs": 3000,
    "attemptTimeoutMs": 1500,
    "movesPerMinute": 600,
    "weights": {"imbalance": 5.0},
}


@dataclass
class SoakReport:
    """The results of a soak."""

    tally: Tally
    findings: Findings
    faults: Counter = field(default_factory=Counter)
    violations: int = 0
    reverts: int = 0
    lost_assignments: int = 0

    def problems(self) -> dict[str, int]:
        """Return the counts of broken guarantees; all must be zero."""
        return {
            "owners_over_one": len(self.findings.overlaps),
            "runs_spanning_another_owner": len(self.findings.spans),
            "doubled_orders": len(self.findings.run_twice),
            "wrong_answers": self.tally.wrong,
            "not_run_but_ran": len(self.findings.refused_but_ran),
            "answered_but_not_run": len(self.findings.answered_but_not_run),
            "invariants_violated": self.violations,
            "reverts_seen": self.reverts,
            "acknowledged_assignments_lost": self.lost_assignments,
        }


@dataclass
class FaultInjector:
    """Inject one fault after another, chosen by seed.

    The names of the methods that inject faults are printed in the report.
    """

    fleet: Fleet
    rng: random.Random
    file: Path
    faults: Counter = field(default_factory=Counter)
    # VMs whose daemon is being restarted.
    stopped: set[str] = field(default_factory=set)

    async def run(self, seconds: float) -> None:
        """Inject faults for a time (s)."""
        ends_at = monotonic() + seconds
        choices = (
            self.freeze_target,
            self.pause_daemon,
            self.kill_daemon,
            self.lose_store_answers,
            self.take_store_away,
            self.slow_store,
            self.trouble_target,
            self.stop_daemon,
            self.change_policy,
        )
        while monotonic() < ends_at:
            fault = self.rng.choice(choices)
            self.faults[fault.__name__] += 1
            await fault()
            await asyncio.sleep(self.rng.uniform(0.2, 1.5))

    def urls(self) -> list[str]:
        """Return the URLs of the daemons that a load balancer would still use."""
        return [
            daemon.url
            for daemon in self.fleet.daemons.values()
            if is_running(daemon.process) and daemon.vm not in self.stopped
        ]

    async def freeze_target(self) -> None:
        """Pause a target's process for 0.1 to 2 s."""
        target = self.rng.choice(self.fleet.targets)
        target.process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(self.rng.uniform(0.1, 2.0))
        target.process.send_signal(signal.SIGCONT)

    async def pause_daemon(self) -> None:
        """Pause a daemon's process for 0.1 to 4 s."""
        daemon = self.rng.choice(list(self.fleet.daemons.values()))
        daemon.process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(self.rng.uniform(0.1, 4.0))
        daemon.process.send_signal(signal.SIGCONT)

    async def kill_daemon(self) -> None:
        """Kill a daemon and start it again."""
        daemon = self.rng.choice(list(self.fleet.daemons.values()))
        self.stopped.add(daemon.vm)
        daemon.process.kill()
        await daemon.process.wait()
        await self.fleet.start_daemon(daemon)
        await self.fleet.wait_ready()
        self.stopped.discard(daemon.vm)

    async def stop_daemon(self) -> None:
        """Stop a daemon gracefully and start it again."""
        daemon = self.rng.choice(list(self.fleet.daemons.values()))
        self.stopped.add(daemon.vm)
        daemon.process.terminate()
        await daemon.process.wait()
        await self.fleet.start_daemon(daemon)
        await self.fleet.wait_ready()
        self.stopped.discard(daemon.vm)

    async def lose_store_answers(self) -> None:
        """Let the next few writes take effect, but lose their responses."""
        await self.fleet.set_platform_faults(lose_answers=self.rng.randint(1, 3))

    async def take_store_away(self) -> None:
        """Make the store unavailable for a while."""
        await self.fleet.set_platform_faults(outage=True)
        await asyncio.sleep(self.rng.uniform(0.2, 4.0))
        await self.fleet.set_platform_faults(outage=False)

    async def slow_store(self) -> None:
        """Make the store slow for a while."""
        await self.fleet.set_platform_faults(delay_s=self.rng.uniform(0.05, 0.6))
        await asyncio.sleep(self.rng.uniform(0.5, 3.0))
        await self.fleet.set_platform_faults(delay_s=0.0)

    async def change_policy(self) -> None:
        """Change the policy as an operator does; it may fail and isn't retried."""
        manifests = orjson.loads(self.file.read_bytes())
        manifests[0]["spec"]["queueLength"] = self.rng.randrange(100, 1000)
        self.file.write_bytes(orjson.dumps(manifests))
        await porcelain.apply(self.fleet.store, [self.file])

    async def trouble_target(self) -> None:
        """Make a target shed requests, break off responses or slow down for a while."""
        target = self.rng.choice(self.fleet.targets)
        (name,) = target.names
        faults = self.rng.choice(
            (
                {"shed_share": 0.3},
                {"tear_share": 0.2},
                {"close_share": 0.2},
                {"slow_factor": 10.0},
            )
        )
        await self.fleet.set_target_faults(name, **faults)
        await asyncio.sleep(self.rng.uniform(0.5, 2.0))
        await self.fleet.set_target_faults(name)


@dataclass
class RevisionMonitor:
    """Count how often a daemon goes back to an older revision of the configuration."""

    fleet: Fleet
    # By instance id, since a daemon may start with an older revision.
    highest: dict[str, int] = field(default_factory=dict)
    reverts: int = 0

    async def run(self) -> None:
        """Check all daemons periodically, until cancelled."""
        while True:
            for daemon in list(self.fleet.daemons.values()):
                await self._check(daemon)
            await asyncio.sleep(REVISION_POLL_PERIOD_S)

    async def _check(self, daemon: DaemonProcess) -> None:
        try:
            async with asyncio.timeout(REVISION_POLL_PERIOD_S):
                state = await self.fleet.state(daemon)
        except (ClientError, OSError, TimeoutError):
            return
        revision = state["configuration_revision"]
        before = self.highest.get(state["instance"], 0)
        self.reverts += revision < before
        self.highest[state["instance"]] = max(before, revision)


def choose_call(rng: random.Random) -> Call:
    """Return a GET or a POST, which isn't idempotent, for a key; some keys are hot."""
    rank = int(rng.paretovariate(1.0))
    key = f"key-{min(rank, KEYS)}"
    if rng.random() < 0.4:
        return Call("POST", f"/desk/{key}", key, b"order")
    return Call("GET", f"/desk/{key}", key)


async def run_soak(seed: int, seconds: float) -> SoakReport:
    """Run load under faults, then load alone, then check journals and logs."""
    service = TrialService("desk", 8, DATA_CENTRES, policy=POLICY)
    async with open_fleet(log_sample=0.1) as fleet:
        file = write_manifests(fleet.folder, [service])
        await fleet.start_platform()
        await fleet.set_platform_faults(vm_lag_s=0.5)
        await fleet.start_targets([file], apart=True)
        await fleet.apply(file)
        await fleet.start_daemons(dict.fromkeys(DATA_CENTRES, VMS))
        await fleet.wait_assigned("desk")
        injector = FaultInjector(fleet, random.Random(seed), file)
        monitor = RevisionMonitor(fleet)
        monitoring = asyncio.create_task(monitor.run())
        load = asyncio.create_task(
            run_load(
                fleet.session,
                injector.urls,
                choose_call,
                seconds=seconds + FINAL_FAULT_FREE_S,
                connections=CONNECTIONS,
                rate=REQUESTS_PER_S,
                seed=seed,
            )
        )
        await injector.run(seconds)
        tally = await load
        monitoring.cancel()
        journals = await fleet.journals()
        findings = check_journals(
            journals, tally.answered_post_tags, tally.not_run_tags
        )
        violations = count_violations(fleet)
        lost = find_lost_assignments(
            read_log_lines(fleet), await fleet.assignment_history()
        )
        return SoakReport(
            tally, findings, injector.faults, violations, monitor.reverts, len(lost)
        )


def read_log_lines(fleet: Fleet) -> list[str]:
    """Return the log lines of all daemons."""
    return [
        line
        for daemon in fleet.daemons.values()
        for line in daemon.log_file.read_text().splitlines()
    ]


def count_violations(fleet: Fleet) -> int:
    """Return how often daemons have logged a violated invariant."""
    return sum(
        daemon.log_file.read_text().count("event=invariant_violated")
        for daemon in fleet.daemons.values()
    )


def print_report(seed: int, report: SoakReport) -> int:
    """Print the results; return how many kinds of guarantees were broken."""
    tally = report.tally
    print(
        f"soak: seed={seed} requests={tally.sent} answered={tally.answered} "
        f"not_run={tally.not_run} unknown={tally.unknown} failed={tally.failed}"
    )
    print(f"soak: faults {dict(report.faults)}")
    print(f"soak: reasons {dict(tally.reasons)}")
    for name, count in report.problems().items():
        print(f"soak: {name}={count}")
    return sum(bool(count) for count in report.problems().values())


def main(argv: list[str]) -> None:
    """Run one soak."""
    values = flags.FLAGS
    report = asyncio.run(run_soak(values.seed, values.seconds))
    sys.exit(print_report(values.seed, report))


def define_flags() -> None:
    """Define the flags of a soak."""
    flags.DEFINE_integer("seed", 1, "Seed of load and faults.")
    flags.DEFINE_float("seconds", 60.0, "Time under faults.")


if __name__ == "__main__":
    define_flags()
    app.run(main)
