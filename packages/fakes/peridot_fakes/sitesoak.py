"""Soak of the gateway mode: random faults by seed under load, and checks of guarantees.

Gateways are processes of their own. The store and the servers, each behind a relay, are
stand-ins in this process.
"""

import asyncio
import random
import re
import signal
import sys
from collections import Counter, deque
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path
from tempfile import TemporaryDirectory

from absl import app, flags
from aiohttp import ClientError

from peridot_fakes.disturbances import STORE, FaultTracker
from peridot_fakes.holdserver import FakeServer
from peridot_fakes.site import (
    FILES_ROUTE,
    GRACE_S,
    ORDERS_ROUTE,
    Site,
    make_configuration,
    open_site,
)

GATEWAYS = ("vm-1", "vm-2", "vm-3")
FILES_SERVERS = 4
CALLERS = 12
MEAN_CALLER_PAUSE_S = 0.05
RESPONSE_TIMEOUT_S = 3.0
CHECK_PERIOD_S = 0.02
# Within this time each key is served again after all faults have ended; longer than
# the longest wait for leases of earlier terms.
RECOVERY_TIMEOUT_S = 25.0
HOT_KEYS = 40
NOT_RUN_STATUSES = (429, 503)
# The two delays below are guaranteed to requests whose gateway and store have had no
# fault for this long.
STABILITY_WINDOW_S = 3.0
# A stored configuration is in force at all gateways after this time.
CONFIGURATION_DELAY_S = 2.0
# A server gets no new requests this long after it was stored as draining.
DRAIN_S = 2.0
# One in so many requests uses the route that was added last.
NEW_ROUTE_PERIOD = 8
# The store is restored from copies of at most this age, one for each period.
MAX_COPY_AGE_S = 4.0
COPY_PERIOD_S = 0.5
# Operators and servers write their objects again within this time after a restore, and
# the store drops the entries of servers that have ended.
REWRITE_DELAY_S = 2.0
EXPIRY_DELAY_S = 2.6
# Number of kinds of faults that a run with `few` draws.
FEW_KINDS = 3
Fault = Callable[[], Awaitable[None]]
EVENT = re.compile(r"event=(\w+)(?:.* version=(\d+))?")


@dataclass
class Verdict:
    """The result of a soak.

    `problems` counts broken guarantees and must be empty; `faults` counts injected
    faults by name, and `answers` responses by status or error.
    """

    problems: Counter = field(default_factory=Counter)
    details: list[str] = field(default_factory=list)
    faults: Counter = field(default_factory=Counter)
    answers: Counter = field(default_factory=Counter)

    def record_problem(self, problem: str, detail: str) -> None:
        """Count a broken guarantee and keep the details."""
        self.problems[problem] += 1
        self.details.append(f"{problem}: {detail}")


@dataclass
class SiteSoak:
    """Run load and faults on a site.

    The names of the methods that inject faults are printed in the result.
    """

    site: Site
    rng: random.Random
    verdict: Verdict = field(default_factory=Verdict)
    # Gateways that a load balancer would use.
    usable: set[str] = field(default_factory=lambda: set(GATEWAYS))
    # Version of the last stored configuration.
    version: int = 1
    # Last number used in a request's path or a server's name.
    number: int = 0
    # Servers that have ended; the requests that they ran are still checked.
    ended_servers: list[FakeServer] = field(default_factory=list)
    not_run_attempts: list[str] = field(default_factory=list)
    post_attempts: list[str] = field(default_factory=list)
    fault_tracker: FaultTracker = field(default_factory=FaultTracker)
    # When servers were stored as draining, and when the last configuration was stored
    # (s, event loop's clock).
    drain_started_at: dict[str, float] = field(default_factory=dict)
    changed_at: float = 0.0
    # The last copies of the store.
    copies: deque = field(
        default_factory=lambda: deque(maxlen=int(MAX_COPY_AGE_S / COPY_PERIOD_S))
    )
    # When (s) a gateway first passed on a response of a server that announced its
    # leaving, by gateway and server. Restarts and pauses of the gateway end it.
    announced_at: dict[tuple[str, str], float] = field(default_factory=dict)
    # The drawn faults of a run with few kinds; empty in other runs.
    selected_faults: tuple[Fault, ...] = ()

    async def run(self, seconds: float) -> Verdict:
        """Run load with faults for a time (s), end all faults and check the results."""
        for _ in range(FILES_SERVERS):
            await self.add_server("files")
        await self.add_server("orders")
        await self.add_server("orders")
        for name in GATEWAYS:
            await self.site.gateways.start(name)
        background = [
            asyncio.create_task(self.watch_leases()),
            asyncio.create_task(self.copy_store()),
        ]
        background += [
            asyncio.create_task(self.send_requests()) for _ in range(CALLERS)
        ]
        ends_at = asyncio.get_running_loop().time() + seconds
        await asyncio.gather(self.inject_faults(ends_at), self.inject_faults(ends_at))
        await self.end_all_faults()
        await self.check_served_again()
        for task in background:
            task.cancel()
        await asyncio.gather(*background, return_exceptions=True)
        self.check_runs()
        self.check_logs()
        return self.verdict

    # Load.

    async def send_requests(self) -> None:
        """Send requests one after another, until cancelled."""
        while True:
            await asyncio.sleep(self.rng.uniform(0, 2 * MEAN_CALLER_PAUSE_S))
            if not self.usable:
                continue
            gateway = self.rng.choice(sorted(self.usable))
            self.number += 1
            if self.rng.random() < 0.3:
                await self.send(gateway, "POST", f"/orders/{self.number}")
            else:
                await self.send(gateway, "GET", f"/files/{self.number}")

    async def send(self, gateway: str, method: str, path: str) -> None:
        """Send one request and check its response against the guarantees."""
        key = min(65_535, int(1_000 * self.rng.paretovariate(0.4)) % 65_536)
        if self.rng.random() < 0.5:
            key = 20_000 + self.rng.randrange(HOT_KEYS)
        sent_at, newest_configuration = self.now(), (self.version, self.changed_at)
        uses_new_route = self.number % NEW_ROUTE_PERIOD == 0
        if self.changed_at and method == "GET" and uses_new_route:
            path = self.new_route()[2] + path[1:]
        try:
            async with asyncio.timeout(RESPONSE_TIMEOUT_S):
                status, body, headers, attempt = await self.site.send(
                    gateway, method, path, key, data=b"b" if method == "POST" else None
                )
        except (ClientError, OSError, TimeoutError) as error:
            self.verdict.answers[type(error).__name__] += 1
            return
        self.verdict.answers[status] += 1
        self.check_announced_leaving(gateway, headers, sent_at)
        if self.was_undisturbed(gateway, sent_at):
            self.check_time_bounds(status, headers, path, sent_at, newest_configuration)
        if method == "POST":
            self.post_attempts.append(attempt)
        if status in NOT_RUN_STATUSES:
            self.not_run_attempts.append(attempt)
            if "Retry-After" not in headers:
                self.verdict.record_problem("refusals_without_a_time", path)
        if status == 200 and f" {path} ".encode() not in body + b" ":
            self.verdict.record_problem("wrong_answers", f"{path}: {body!r}")

    def now(self) -> float:
        """Return the event loop's time (s)."""
        return asyncio.get_running_loop().time()

    def was_undisturbed(self, gateway: str, sent_at: float) -> bool:
        """Return whether the guaranteed delays apply to a request.

        They do if neither the gateway nor the store had a fault since the stability
        window before the request was sent (s).
        """
        return self.fault_tracker.had_no_fault_since(
            sent_at - STABILITY_WINDOW_S, gateway, STORE
        )

    def check_time_bounds(
        self,
        status: int,
        headers: dict[str, str],
        path: str,
        sent_at: float,
        newest_configuration: tuple[int, float],
    ) -> None:
        """Check a response for an outdated configuration or a server that has drained.

        The newest configuration is given as its version and when (s) it was stored.
        """
        version, changed_at = newest_configuration
        if status == 404 and sent_at > changed_at + CONFIGURATION_DELAY_S:
            detail = f"{path} {sent_at - changed_at:.2f} s after version {version}"
            self.verdict.record_problem("configurations_late", detail)
        server = headers.get("X-Upstream-Signature", "")
        drain_started_at = self.drain_started_at.get(server, sent_at)
        if sent_at > drain_started_at + DRAIN_S:
            detail = (
                f"{server} {sent_at - drain_started_at:.2f} s after its drain began"
            )
            self.verdict.record_problem("requests_at_servers_that_left", detail)

    def check_announced_leaving(
        self, gateway: str, headers: dict[str, str], sent_at: float
    ) -> None:
        """Check a response of a server that announces its leaving, in touch or not."""
        server = headers.get("X-Upstream-Signature", "")
        if not self.fault_tracker.had_no_fault_since(sent_at, gateway):
            self.announced_at.pop((gateway, server), None)
        elif "Server-Leaving" in headers:
            first = self.announced_at.setdefault((gateway, server), self.now())
            if sent_at > first + DRAIN_S:
                detail = f"{server} {sent_at - first:.2f} s after it announced it"
                self.verdict.record_problem("requests_at_leaving_servers", detail)

    # Faults.

    async def inject_faults(self, ends_at: float) -> None:
        """Inject one fault after another until a time (s); complete the last one."""
        faults = self.selected_faults or self.list_faults()
        while asyncio.get_running_loop().time() < ends_at:
            fault = self.rng.choice(faults)
            self.verdict.faults[fault.__name__] += 1
            await fault()
            await asyncio.sleep(self.rng.uniform(0.1, 1.0))

    def select_few_faults(self) -> None:
        """Draw few kinds of faults, so that the guaranteed delays apply more often."""
        drawn = self.rng.sample((*self.list_faults(), self.deafen_watches), FEW_KINDS)
        always = (self.drain_server, self.drain_server, self.change_configuration)
        self.selected_faults = (*drawn, *always)

    def list_faults(self) -> tuple[Fault, ...]:
        """Return the faults of runs with all kinds; some are twice as likely."""
        return (
            self.kill_gateway,
            self.stop_gateway,
            self.pause_gateway,
            self.pause_gateway,
            self.silence_store,
            self.refuse_store,
            self.refuse_some,
            self.lose_answers_of_store,
            self.forget_history,
            self.restore_store,
            self.cut_server,
            self.cut_server,
            self.restart_server,
            self.drain_server,
            self.leave_unannounced,
            self.reuse_address,
            self.trouble_server,
            self.change_configuration,
        )

    async def kill_gateway(self) -> None:
        """Kill and restart one gateway, or all with a probability of 0.2."""
        names = GATEWAYS if self.rng.random() < 0.2 else (self.rng.choice(GATEWAYS),)
        await self.restart_if_usable(names, signal.SIGKILL)

    async def stop_gateway(self) -> None:
        """Stop a gateway gracefully and restart it."""
        await self.restart_if_usable((self.rng.choice(GATEWAYS),), signal.SIGTERM)

    async def restart_if_usable(
        self, names: tuple[str, ...], signal_number: int
    ) -> None:
        """Stop and restart those of the gateways that have no other fault."""
        names = tuple(name for name in names if name in self.usable)
        self.usable -= set(names)
        with self.fault_tracker.track(*names):
            await self.restart_gateways(names, signal_number)
        self.usable |= set(names)

    async def restart_gateways(
        self, names: tuple[str, ...], signal_number: int
    ) -> None:
        """Stop gateways, check that graceful stops are clean, and restart them."""
        for name in names:
            signalled_at = asyncio.get_running_loop().time()
            code = await self.site.gateways.stop(name, signal_number)
            took_s = asyncio.get_running_loop().time() - signalled_at
            if signal_number == signal.SIGTERM and (code != 0 or took_s > GRACE_S):
                detail = f"{name}: code {code} after {took_s:.1f} s"
                self.verdict.record_problem("stops_not_clean", detail)
        await asyncio.sleep(self.rng.uniform(0.0, 2.0))
        for name in names:
            # A gateway isn't ready while the store is unavailable, so this may time
            # out; check_served_again fails if the gateway never becomes ready.
            with suppress(TimeoutError):
                await self.site.gateways.start(name)

    async def pause_gateway(self) -> None:
        """Pause a gateway's process for 0.1 to 6 s."""
        name = self.rng.choice(GATEWAYS)
        if name not in self.usable:
            return
        self.usable.discard(name)
        process = self.site.gateways.processes[name]
        with self.fault_tracker.track(name):
            process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(self.rng.uniform(0.1, 6.0))
            process.send_signal(signal.SIGCONT)
        self.usable.add(name)

    async def silence_store(self) -> None:
        """Let the store accept calls without responding for a while."""
        with self.fault_tracker.track(STORE):
            self.site.api.unresponsive = True
            await asyncio.sleep(self.rng.uniform(0.5, 7.0))
            self.site.api.unresponsive = False

    async def refuse_store(self) -> None:
        """Let the store refuse all calls for a while."""
        with self.fault_tracker.track(STORE):
            self.site.api.error_status = 503
            await asyncio.sleep(self.rng.uniform(0.5, 7.0))
            self.site.api.error_status = None

    async def refuse_some(self) -> None:
        """Let the store refuse the calls of one gateway for a while."""
        port = self.site.gateways.store_ports[self.rng.choice(GATEWAYS)]
        with self.fault_tracker.track(STORE):
            self.site.api.refused_ports.add(port)
            await asyncio.sleep(self.rng.uniform(0.5, 5.0))
            self.site.api.refused_ports.discard(port)

    async def lose_answers_of_store(self) -> None:
        """Let the next few writes take effect without a response."""
        with self.fault_tracker.track(STORE):
            self.site.api.lose_answers += self.rng.randint(1, 3)

    async def forget_history(self) -> None:
        """Drop the store's history, so that all watches fail."""
        with self.fault_tracker.track(STORE):
            self.site.api.drop_history()

    async def copy_store(self) -> None:
        """Copy the store periodically, until cancelled."""
        while True:
            self.copies.append(self.site.api.take_copy())
            await asyncio.sleep(COPY_PERIOD_S)

    async def restore_store(self) -> None:
        """Let the store come back from a copy after a moment without responses."""
        with self.fault_tracker.track(STORE):
            self.site.api.unresponsive = True
            await asyncio.sleep(self.rng.uniform(0.0, 1.0))
            await self.site.api.restore(self.rng.choice(self.copies))
            self.copies.clear()
            self.copies.append(self.site.api.take_copy())
            self.site.api.unresponsive = False
            await asyncio.sleep(self.rng.uniform(0.0, REWRITE_DELAY_S))
            await self.write_again()
            await asyncio.sleep(EXPIRY_DELAY_S - REWRITE_DELAY_S)
            await self.expire_entries()

    async def write_again(self) -> None:
        """Write what the operator and the servers had written before a restore."""
        if self.changed_at:
            await self.put_configuration()
        for server in list(self.site.servers.values()):
            draining = server.name in self.drain_started_at
            await self.register(server, "draining" if draining else "ready")

    async def expire_entries(self) -> None:
        """Remove the entries of servers that have ended."""
        stored = [name for kind, name in self.site.api.objects if kind == "servers"]
        for name in stored:
            if name not in self.site.servers:
                await self.site.api.remove("servers", name)

    async def deafen_watches(self) -> None:
        """Let new watches hang for a while, then drop the history."""
        with self.fault_tracker.track(STORE):
            self.site.api.stalled_watches = True
            await asyncio.sleep(self.rng.uniform(0.3, 4.0))
            self.site.api.stalled_watches = False
            self.site.api.drop_history()

    async def cut_server(self) -> None:
        """Cut a server off for a while, without resetting its connections."""
        server = self.choose_server("files")
        server.relay.cut()
        await asyncio.sleep(self.rng.uniform(0.2, 5.0))
        server.relay.heal()

    async def restart_server(self) -> None:
        """Restart a server under its name: the new process has no leases."""
        server = self.choose_server("files")
        server.restart()
        # The previous process may have been draining; the new one isn't.
        self.drain_started_at.pop(server.name, None)
        await self.register(server)

    async def drain_server(self) -> None:
        """Add a server, drain another one for 3 s and then end it."""
        await self.add_server("files")
        server = self.choose_server("files")
        await self.register(server, "draining")
        if self.fault_tracker.had_no_fault_since(
            self.now() - STABILITY_WINDOW_S, STORE
        ):
            self.drain_started_at.setdefault(server.name, self.now())
        await asyncio.sleep(3.0)
        await self.end_server(server)

    async def leave_unannounced(self) -> None:
        """End a server that announces its leaving in its responses only."""
        await self.add_server("files")
        server = self.choose_server("files")
        server.leaving = True
        await asyncio.sleep(self.rng.uniform(2.5, 5.0))
        await self.end_server(server)

    async def end_server(self, server: FakeServer) -> None:
        """End a server and remove its entry."""
        if self.site.servers.pop(server.name, None) is None:
            return
        self.ended_servers.append(server)
        if ("servers", server.name) in self.site.api.objects:
            await self.site.api.remove("servers", server.name)
        server.relay.cut()

    async def reuse_address(self) -> None:
        """Add a server, and replace another one by a server of the service orders."""
        await self.add_server("files")
        server = self.choose_server("files")
        await self.site.reuse_address(
            server.name, f"orders-{self.next_number()}", "orders"
        )

    async def trouble_server(self) -> None:
        """Make a server refuse requests, lose responses or return wrong attempt ids."""
        server = self.choose_server(self.rng.choice(("files", "orders")))
        name = self.rng.choice(("shed", "lose_answers", "foreign"))
        setattr(server, name, self.rng.randint(1, 5))

    async def change_configuration(self) -> None:
        """Store a newer configuration, which replaces the route that was added last."""
        self.version += self.rng.randint(1, 3)
        await self.put_configuration()

    async def put_configuration(self) -> None:
        """Store the newest configuration."""
        routes = [FILES_ROUTE, ORDERS_ROUTE, self.new_route()]
        await self.site.api.put(
            "config", "main", make_configuration(self.version, routes)
        )
        self.changed_at = self.now()

    def new_route(self) -> list:
        """Return the route that only the newest configuration has."""
        name = f"new-{self.version}"
        return [name, FILES_ROUTE[1], f"/{name}/", *FILES_ROUTE[3:]]

    async def end_all_faults(self) -> None:
        """End all faults."""
        self.site.api.unresponsive, self.site.api.error_status = False, None
        self.site.api.refused_ports.clear()
        self.site.api.stalled_watches = False
        self.site.api.lose_answers = 0
        for server in self.site.servers.values():
            server.relay.heal()
            server.shed = server.lose_answers = server.foreign = 0
        for name in GATEWAYS:
            process = self.site.gateways.processes.get(name)
            if process is not None:
                process.send_signal(signal.SIGCONT)
            else:
                await self.site.gateways.start(name)
        self.usable = set(GATEWAYS)

    # Servers.

    def next_number(self) -> int:
        """Return an unused number."""
        self.number += 1
        return self.number

    async def add_server(self, service: str) -> None:
        """Start a server of a service, behind a relay."""
        await self.site.add_server(
            f"{service}-{self.next_number()}", service, relayed=True
        )

    def choose_server(self, service: str) -> FakeServer:
        """Return a random server of a service."""
        servers = [s for s in self.site.servers.values() if s.service == service]
        return self.rng.choice(servers)

    async def register(self, server: FakeServer, state: str = "ready") -> None:
        """Store a server's entry, unless the server has ended."""
        if server.name in self.site.servers:
            await self.site.api.put(
                "servers", server.name, server.make_registration(state)
            )

    # Checks.

    async def watch_leases(self) -> None:
        """Check for overlapping leases periodically, until cancelled."""
        while True:
            self.check_leases()
            await asyncio.sleep(CHECK_PERIOD_S)

    def check_leases(self) -> None:
        """Record each pair of servers that have unexpired leases on the same key."""
        now = asyncio.get_running_loop().time()
        live = [
            (server.name, item)
            for server in self.site.servers.values()
            for item in server.holder.held
            if item.ends > now
        ]
        live.sort(key=lambda pair: pair[1].keys.start)
        for (name, item), (other, later) in zip(live, live[1:], strict=False):
            if name != other and item.keys.overlaps(later.keys):
                detail = f"{name} {item.keys} and {other} {later.keys} at {now:.2f}"
                self.verdict.record_problem("keys_with_two_holders", detail)

    async def check_served_again(self) -> None:
        """Check that each gateway serves keys again after all faults have ended."""
        for name in GATEWAYS:
            for key in (0, 20_000, 65_535):
                try:
                    await self.site.wait_until_served(name, key, RECOVERY_TIMEOUT_S)
                except (TimeoutError, ClientError, OSError) as error:
                    self.verdict.record_problem(
                        "not_served_again", f"{name} {key} {error!r}"
                    )

    def check_runs(self) -> None:
        """Check that no refused request ran and no non-idempotent request ran twice."""
        runs: Counter = Counter()
        for server in (*self.site.servers.values(), *self.ended_servers):
            runs.update(server.runs)
        for attempt in self.not_run_attempts:
            if runs[attempt]:
                self.verdict.record_problem("refused_but_ran", attempt)
        for attempt in self.post_attempts:
            if runs[attempt] > 1:
                self.verdict.record_problem("orders_run_twice", attempt)

    def check_logs(self) -> None:
        """Check that no gateway reverted its configuration and no task failed."""
        for name in GATEWAYS:
            newest_version = 0
            for event, version in EVENT.findall(self.site.gateways.log(name)):
                if event == "started":
                    newest_version = 0
                elif event == "configuration":
                    if int(version) < newest_version:
                        self.verdict.record_problem("configurations_reverted", name)
                    newest_version = int(version)
                elif event in ("part_failed", "placer_task_failed"):
                    self.verdict.record_problem("tasks_failed", name)


async def run_soak(seed: int, seconds: float, folder: Path, few: bool) -> Verdict:
    """Run the soak with one seed, with few or all kinds of faults."""
    async with open_site(folder) as site:
        soak = SiteSoak(site, random.Random(seed))
        if few:
            soak.select_few_faults()
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
