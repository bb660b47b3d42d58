"""Soak of the platform path: random faults by seed under load, then a verdict.

Gateways are processes; store and servers are stand-ins of this process, behind relays.
"""

import asyncio
import random
import re
import signal
import sys
from collections import Counter
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path
from tempfile import TemporaryDirectory

from absl import app, flags
from aiohttp import ClientError

from peridot_fakes.disturbances import STORE, Disturbances
from peridot_fakes.holdserver import HoldServer
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
CALLER_PAUSE_S = 0.05
ANSWER_TIMEOUT_S = 3.0
CHECK_PERIOD_S = 0.02
# Longer than the longest wait for rights of earlier terms.
REGAINED_S = 25.0
HOT_KEYS = 40
NOT_RUN_STATUSES = (429, 503)
# Promises with a time hold where nothing was disturbed for so long (s) ...
SETTLED_S = 3.0
# ... for requests sent this long after an acknowledgement (s).
CONFIG_S = 2.0
DRAIN_S = 2.0
# One in so many requests goes to the route that was added last.
NEW_ROUTE_PERIOD = 8
# Kinds of faults in runs with few.
FEW_FAULTS = 3
Fault = Callable[[], Awaitable[None]]
EVENT = re.compile(r"event=(\w+)(?:.* version=(\d+))?")


@dataclass
class Verdict:
    """Hold counts that must all be zero, and what was played."""

    problems: Counter = field(default_factory=Counter)
    notes: list[str] = field(default_factory=list)
    faults: Counter = field(default_factory=Counter)
    answers: Counter = field(default_factory=Counter)

    def blame(self, problem: str, note: str) -> None:
        """Count a broken promise."""
        self.problems[problem] += 1
        self.notes.append(f"{problem}: {note}")


@dataclass
class SiteSoak:
    """Play load and faults on a site."""

    site: Site
    rng: random.Random
    verdict: Verdict = field(default_factory=Verdict)
    # Gateways that a balancer would use.
    usable: set[str] = field(default_factory=lambda: set(GATEWAYS))
    version: int = 1
    number: int = 0
    # Servers that ended; their runs still count.
    ended: list[HoldServer] = field(default_factory=list)
    not_run: list[str] = field(default_factory=list)
    orders: list[str] = field(default_factory=list)
    disturbances: Disturbances = field(default_factory=Disturbances)
    # When servers said that they leave, and when the last version was stored (s).
    left_at: dict[str, float] = field(default_factory=dict)
    changed_at: float = 0.0
    # Faults of a run with few kinds; empty in the others.
    few_faults: tuple[Fault, ...] = ()

    async def play(self, seconds: float) -> Verdict:
        """Cause faults for a time (s), heal all, and return the verdict."""
        for _ in range(FILES_SERVERS):
            await self.add_server("files")
        await self.add_server("orders")
        await self.add_server("orders")
        for name in GATEWAYS:
            await self.site.gateways.start(name)
        background = [asyncio.create_task(self.watch_holds())]
        background += [asyncio.create_task(self.call()) for _ in range(CALLERS)]
        ends = asyncio.get_running_loop().time() + seconds
        await asyncio.gather(self.cause_faults(ends), self.cause_faults(ends))
        await self.heal()
        await self.check_regained()
        for task in background:
            task.cancel()
        await asyncio.gather(*background, return_exceptions=True)
        self.check_runs()
        self.check_logs()
        return self.verdict

    # Load.

    async def call(self) -> None:
        """Send requests, one after the other, on kept connections."""
        while True:
            await asyncio.sleep(self.rng.uniform(0, 2 * CALLER_PAUSE_S))
            if not self.usable:
                continue
            gateway = self.rng.choice(sorted(self.usable))
            self.number += 1
            if self.rng.random() < 0.3:
                await self.send(gateway, "POST", f"/orders/{self.number}")
            else:
                await self.send(gateway, "GET", f"/files/{self.number}")

    async def send(self, gateway: str, method: str, path: str) -> None:
        """Send one request and take down what was promised."""
        key = min(65_535, int(1_000 * self.rng.paretovariate(0.4)) % 65_536)
        if self.rng.random() < 0.5:
            key = 20_000 + self.rng.randrange(HOT_KEYS)
        sent_at, newest = self.now(), (self.version, self.changed_at)
        is_probe = self.number % NEW_ROUTE_PERIOD == 0
        if self.changed_at and method == "GET" and is_probe:
            path = self.new_route()[2] + path[1:]
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                status, body, headers, attempt = await self.site.send(
                    gateway, method, path, key, data=b"b" if method == "POST" else None
                )
        except (ClientError, OSError, TimeoutError) as error:
            self.verdict.answers[type(error).__name__] += 1
            return
        self.verdict.answers[status] += 1
        if self.was_in_touch(gateway, sent_at):
            self.check_in_time(status, headers, path, sent_at, newest)
        if method == "POST":
            self.orders.append(attempt)
        if status in NOT_RUN_STATUSES:
            self.not_run.append(attempt)
            if "Retry-After" not in headers:
                self.verdict.blame("refusals_without_a_time", path)
        if status == 200 and f" {path} ".encode() not in body + b" ":
            self.verdict.blame("wrong_answers", f"{path}: {body!r}")

    def now(self) -> float:
        """Return the time (s)."""
        return asyncio.get_running_loop().time()

    def was_in_touch(self, gateway: str, sent_at: float) -> bool:
        """Tell whether promises with a time held at a gateway for a request."""
        return self.disturbances.are_calm_since(sent_at - SETTLED_S, gateway, STORE)

    def check_in_time(
        self,
        status: int,
        headers: dict[str, str],
        path: str,
        sent_at: float,
        newest: tuple[int, float],
    ) -> None:
        """Blame answers by an old configuration, or by servers that left."""
        version, changed_at = newest
        if status == 404 and sent_at > changed_at + CONFIG_S:
            note = f"{path} of {version}, {sent_at - changed_at:.2f} s later"
            self.verdict.blame("configurations_late", note)
        server = headers.get("X-Upstream-Signature", "")
        left_at = self.left_at.get(server, sent_at)
        if sent_at > left_at + DRAIN_S:
            note = f"{server} {sent_at - left_at:.2f} s after its notice"
            self.verdict.blame("requests_at_servers_that_left", note)

    # Faults.

    async def cause_faults(self, ends: float) -> None:
        """Cause one fault after another until a time (s); the last one is ended."""
        faults = self.few_faults or self.list_faults()
        while asyncio.get_running_loop().time() < ends:
            fault = self.rng.choice(faults)
            self.verdict.faults[fault.__name__] += 1
            await fault()
            await asyncio.sleep(self.rng.uniform(0.1, 1.0))

    def choose_few(self) -> None:
        """Play few kinds of faults, so that what they leave alone stays calm."""
        some = self.rng.sample((*self.list_faults(), self.deafen_watches), FEW_FAULTS)
        always = (self.drain_server, self.drain_server, self.change_configuration)
        self.few_faults = (*some, *always)

    def list_faults(self) -> tuple[Fault, ...]:
        """Return all faults of runs with many of them."""
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
            self.cut_server,
            self.cut_server,
            self.restart_server,
            self.drain_server,
            self.reuse_address,
            self.trouble_server,
            self.change_configuration,
        )

    async def kill_gateway(self) -> None:
        """Kill a gateway, perhaps all, and start it again."""
        names = GATEWAYS if self.rng.random() < 0.2 else (self.rng.choice(GATEWAYS),)
        await self.end(names, signal.SIGKILL)

    async def stop_gateway(self) -> None:
        """Stop a gateway gracefully and start it again."""
        await self.end((self.rng.choice(GATEWAYS),), signal.SIGTERM)

    async def end(self, names: tuple[str, ...], number: int) -> None:
        """End gateways that aren't busy with another fault, and start them again."""
        names = tuple(name for name in names if name in self.usable)
        self.usable -= set(names)
        with self.disturbances.disturb(*names):
            await self.end_and_start(names, number)
        self.usable |= set(names)

    async def end_and_start(self, names: tuple[str, ...], number: int) -> None:
        """End gateways and start them again."""
        for name in names:
            began = asyncio.get_running_loop().time()
            code = await self.site.gateways.end(name, number)
            took_s = asyncio.get_running_loop().time() - began
            if number == signal.SIGTERM and (code != 0 or took_s > GRACE_S):
                note = f"{name}: code {code} after {took_s:.1f} s"
                self.verdict.blame("stops_not_clean", note)
        await asyncio.sleep(self.rng.uniform(0.0, 2.0))
        for name in names:
            # It isn't ready while the store is away; check_regained tells in the end.
            with suppress(TimeoutError):
                await self.site.gateways.start(name)

    async def pause_gateway(self) -> None:
        """Stop a gateway's process for a while and let it go on."""
        name = self.rng.choice(GATEWAYS)
        if name not in self.usable:
            return
        self.usable.discard(name)
        process = self.site.gateways.processes[name]
        with self.disturbances.disturb(name):
            process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(self.rng.uniform(0.1, 6.0))
            process.send_signal(signal.SIGCONT)
        self.usable.add(name)

    async def silence_store(self) -> None:
        """Let the store answer nobody."""
        with self.disturbances.disturb(STORE):
            self.site.api.silent = True
            await asyncio.sleep(self.rng.uniform(0.5, 7.0))
            self.site.api.silent = False

    async def refuse_store(self) -> None:
        """Let the store turn everybody away."""
        with self.disturbances.disturb(STORE):
            self.site.api.refuse_status = 503
            await asyncio.sleep(self.rng.uniform(0.5, 7.0))
            self.site.api.refuse_status = None

    async def refuse_some(self) -> None:
        """Let the store turn one gateway away."""
        port = self.site.gateways.store_ports[self.rng.choice(GATEWAYS)]
        with self.disturbances.disturb(STORE):
            self.site.api.refused_ports.add(port)
            await asyncio.sleep(self.rng.uniform(0.5, 5.0))
            self.site.api.refused_ports.discard(port)

    async def lose_answers_of_store(self) -> None:
        """Let some writes take effect that nobody hears of."""
        with self.disturbances.disturb(STORE):
            self.site.api.lose_answers += self.rng.randint(1, 3)

    async def forget_history(self) -> None:
        """Let all watches fail."""
        with self.disturbances.disturb(STORE):
            self.site.api.forget_history()

    async def deafen_watches(self) -> None:
        """Let watches hear nothing for a while, then drop the history."""
        with self.disturbances.disturb(STORE):
            self.site.api.deaf_watches = True
            await asyncio.sleep(self.rng.uniform(0.3, 4.0))
            self.site.api.deaf_watches = False
            self.site.api.forget_history()

    async def cut_server(self) -> None:
        """Cut a server off without a reset for a while."""
        server = self.choose_server("files")
        server.relay.cut()
        await asyncio.sleep(self.rng.uniform(0.2, 5.0))
        server.relay.heal()

    async def restart_server(self) -> None:
        """Start a server anew under its name: it holds and knows nothing."""
        server = self.choose_server("files")
        server.restart()
        # It may have been leaving; this life of it isn't.
        self.left_at.pop(server.name, None)
        await self.announce(server)

    async def drain_server(self) -> None:
        """Add a server and let another leave."""
        await self.add_server("files")
        server = self.choose_server("files")
        await self.announce(server, "draining")
        if self.disturbances.are_calm_since(self.now() - SETTLED_S, STORE):
            self.left_at.setdefault(server.name, self.now())
        await asyncio.sleep(3.0)
        if self.site.servers.pop(server.name, None) is None:
            return
        self.ended.append(server)
        await self.site.api.remove("servers", server.name)
        server.relay.cut()

    async def reuse_address(self) -> None:
        """Add a server, end another; its address goes to another service."""
        await self.add_server("files")
        server = self.choose_server("files")
        await self.site.reuse_address(server.name, f"orders-{self.next()}", "orders")

    async def trouble_server(self) -> None:
        """Make a server refuse, lose or mix up some answers."""
        server = self.choose_server(self.rng.choice(("files", "orders")))
        name = self.rng.choice(("shed", "lose_answers", "foreign"))
        setattr(server, name, self.rng.randint(1, 5))

    async def change_configuration(self) -> None:
        """Put a newer configuration in force."""
        self.version += self.rng.randint(1, 3)
        routes = [FILES_ROUTE, ORDERS_ROUTE, self.new_route()]
        await self.site.api.put(
            "config", "main", make_configuration(self.version, routes)
        )
        self.changed_at = self.now()

    def new_route(self) -> list:
        """Return the route that only the newest version has."""
        name = f"new-{self.version}"
        return [name, FILES_ROUTE[1], f"/{name}/", *FILES_ROUTE[3:]]

    async def heal(self) -> None:
        """End all faults."""
        self.site.api.silent, self.site.api.refuse_status = False, None
        self.site.api.refused_ports.clear()
        self.site.api.deaf_watches = False
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

    def next(self) -> int:
        """Return a number that wasn't used."""
        self.number += 1
        return self.number

    async def add_server(self, service: str) -> None:
        """Start a server behind a relay."""
        await self.site.add_server(f"{service}-{self.next()}", service, relayed=True)

    def choose_server(self, service: str) -> HoldServer:
        """Return a server of a service."""
        servers = [s for s in self.site.servers.values() if s.service == service]
        return self.rng.choice(servers)

    async def announce(self, server: HoldServer, state: str = "ready") -> None:
        """Write a server's entry if it hasn't ended."""
        if server.name in self.site.servers:
            await self.site.api.put("servers", server.name, server.entry(state))

    # Checks.

    async def watch_holds(self) -> None:
        """Look for keys with two holders, for ever."""
        while True:
            self.check_holds()
            await asyncio.sleep(CHECK_PERIOD_S)

    def check_holds(self) -> None:
        """Blame each pair of servers that hold the same key now."""
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
                note = f"{name} {item.keys} and {other} {later.keys} at {now:.2f}"
                self.verdict.blame("keys_with_two_holders", note)

    async def check_regained(self) -> None:
        """Blame keys that no gateway serves after all faults have ended."""
        for name in GATEWAYS:
            for key in (0, 20_000, 65_535):
                try:
                    await self.site.wait_until_served(name, key, REGAINED_S)
                except (TimeoutError, ClientError, OSError) as error:
                    self.verdict.blame("not_served_again", f"{name} {key} {error!r}")

    def check_runs(self) -> None:
        """Blame requests that ran though refused, and orders that ran twice."""
        runs: Counter = Counter()
        for server in (*self.site.servers.values(), *self.ended):
            runs.update(server.runs)
        for attempt in self.not_run:
            if runs[attempt]:
                self.verdict.blame("refused_but_ran", attempt)
        for attempt in self.orders:
            if runs[attempt] > 1:
                self.verdict.blame("orders_run_twice", attempt)

    def check_logs(self) -> None:
        """Blame configurations that went back, and tasks that failed."""
        for name in GATEWAYS:
            newest = 0
            for event, version in EVENT.findall(self.site.gateways.log(name)):
                if event == "started":
                    newest = 0
                elif event == "configuration":
                    if int(version) < newest:
                        self.verdict.blame("configurations_reverted", name)
                    newest = int(version)
                elif event in ("part_failed", "placer_task_failed"):
                    self.verdict.blame("tasks_failed", name)


async def run_soak(seed: int, seconds: float, folder: Path, few: bool) -> Verdict:
    """Play one seed, with few or many kinds of faults."""
    async with open_site(folder) as site:
        soak = SiteSoak(site, random.Random(seed))
        if few:
            soak.choose_few()
        return await soak.play(seconds)


def main(argv: list[str]) -> None:
    """Play one seed and print its verdict."""
    values = flags.FLAGS
    with TemporaryDirectory() as folder:
        playing = run_soak(values.seed, values.seconds, Path(folder), values.few)
        verdict = asyncio.run(playing)
        if verdict.problems and values.keep_logs:
            for path in Path(folder).glob("*.log"):
                name = f"seed-{values.seed}-{path.name}"
                (Path(values.keep_logs) / name).write_bytes(path.read_bytes())
    print(f"site soak: seed={values.seed} answers={dict(verdict.answers)}")
    print(f"site soak: faults={dict(verdict.faults)}")
    for note in verdict.notes[:20]:
        print(f"site soak: {note}")
    print(f"site soak: problems={dict(verdict.problems)}")
    sys.exit(1 if verdict.problems else 0)


if __name__ == "__main__":
    flags.DEFINE_integer("seed", 1, "Seed of load and faults.")
    flags.DEFINE_float("seconds", 30.0, "Time under faults.")
    flags.DEFINE_bool("few", False, "Play few kinds of faults, others by each seed.")
    flags.DEFINE_string("keep_logs", "", "Folder for the logs of a seed that failed.")
    app.run(main)
