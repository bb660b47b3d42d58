"""Faults of the gateway mode's soak, drawn by seed."""

import asyncio
import random
import signal
from collections import deque
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass, field

import orjson

from peridot_fakes.disturbances import PAUSES, STORE
from peridot_fakes.holdserver import FakeServer
from peridot_fakes.site import (
    EVACUATE_S,
    FILES_ROUTE,
    GRACE_S,
    ORDERS_ROUTE,
    make_configuration,
)
from peridot_fakes.sitestate import (
    COLD_RATE,
    COLD_S,
    GATEWAYS,
    MEDIA_ROUTE,
    STABILITY_WINDOW_S,
    URGENT_ROUTE,
    ZONES,
    SoakState,
)
from peridot_ownership.ranges import ALL_KEYS

# The store is restored from copies of at most this age, one for each period.
MAX_COPY_AGE_S = 4.0
COPY_PERIOD_S = 0.5
# Operators and servers write their objects again within this time after a restore, and
# the store drops the entries of servers that have ended.
REWRITE_DELAY_S = 2.0
EXPIRY_DELAY_S = 2.6
# All gateways know a stored entry after this time (s).
NOTICE_DELAY_S = 2.0
# Changes whose effects are checked wait this long (s) for the store to be well.
WELL_TIMEOUT_S = 6.0
# Nesting that parsers refuse; the brackets match, so that the entry has an end.
NESTED = b"[" * 2000 + b"]" * 2000
# Values of unreadable entries, as JSON.
UNREADABLE = (b"null", b"7", b'"\xff"', b'{"service":[]}', b"1" * 400, NESTED)
# Number of kinds of faults that a run with `few` draws.
FEW_KINDS = 3
Fault = Callable[[], Awaitable[None]]


@dataclass
class SiteFaults:
    """Inject faults into a site.

    The names of the methods that inject faults are printed in the result.
    """

    state: SoakState
    # The last copies of the store.
    copies: deque = field(
        default_factory=lambda: deque(maxlen=int(MAX_COPY_AGE_S / COPY_PERIOD_S))
    )
    # The drawn faults of a run with few kinds; empty in other runs.
    selected_faults: tuple[Fault, ...] = ()

    async def inject_faults(self, ends_at: float) -> None:
        """Inject one fault after another until a time (s); complete the last one."""
        faults = self.selected_faults or self.list_faults()
        await self._inject(faults, self.state.rng, ends_at)

    async def inject_load_faults(self, ends_at: float) -> None:
        """Inject the faults of targets and zones under load in the same way.

        They have their own draws, so that those of the other faults stay the same.
        """
        faults = (
            self.turn_cold,
            self.evacuate_zone,
            self.slow_servers,
            self.break_responses,
            self.spoil_entries,
        )
        await self._inject(faults, self.state.load_rng, ends_at)

    async def _inject(
        self, faults: tuple[Fault, ...], rng: random.Random, ends_at: float
    ) -> None:
        while asyncio.get_running_loop().time() < ends_at:
            fault = rng.choice(faults)
            self.state.verdict.faults[fault.__name__] += 1
            await fault()
            await asyncio.sleep(rng.uniform(0.1, 1.0))

    def select_few_faults(self) -> None:
        """Draw few kinds of faults, so that the guaranteed delays apply more often."""
        drawn = self.state.rng.sample(
            (*self.list_faults(), self.deafen_watches), FEW_KINDS
        )
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
        names = (
            GATEWAYS
            if self.state.rng.random() < 0.2
            else (self.state.rng.choice(GATEWAYS),)
        )
        await self.restart_if_usable(names, signal.SIGKILL)

    async def stop_gateway(self) -> None:
        """Stop a gateway gracefully and restart it."""
        await self.restart_if_usable((self.state.rng.choice(GATEWAYS),), signal.SIGTERM)

    async def restart_if_usable(
        self, names: tuple[str, ...], signal_number: int
    ) -> None:
        """Stop and restart those of the gateways that have no other fault."""
        names = tuple(name for name in names if name in self.state.usable)
        self.state.usable -= set(names)
        with self.state.fault_tracker.track(*names):
            await self.restart_gateways(names, signal_number)
        self.state.usable |= set(names)

    async def restart_gateways(
        self, names: tuple[str, ...], signal_number: int
    ) -> None:
        """Stop gateways, check that graceful stops are clean, and restart them."""
        for name in names:
            signalled_at = asyncio.get_running_loop().time()
            code = await self.state.site.gateways.stop(name, signal_number)
            took_s = asyncio.get_running_loop().time() - signalled_at
            if signal_number == signal.SIGTERM and (code != 0 or took_s > GRACE_S):
                detail = f"{name}: code {code} after {took_s:.1f} s"
                self.state.verdict.record_problem("stops_not_clean", detail)
        await asyncio.sleep(self.state.rng.uniform(0.0, 2.0))
        for name in names:
            # A gateway isn't ready while the store is unavailable, so this may time
            # out; check_served_again fails if the gateway never becomes ready.
            with suppress(TimeoutError):
                await self.state.site.gateways.start(name)

    async def pause_gateway(self) -> None:
        """Pause a gateway's process for 0.1 to 6 s."""
        name = self.state.rng.choice(GATEWAYS)
        if name not in self.state.usable:
            return
        self.state.usable.discard(name)
        process = self.state.site.gateways.processes[name]
        with self.state.fault_tracker.track(name, PAUSES):
            process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(self.state.rng.uniform(0.1, 6.0))
            process.send_signal(signal.SIGCONT)
        self.state.usable.add(name)

    async def silence_store(self) -> None:
        """Let the store accept calls without responding for a while."""
        with self.state.fault_tracker.track(STORE):
            self.state.site.api.unresponsive = True
            await asyncio.sleep(self.state.rng.uniform(0.5, 7.0))
            self.state.site.api.unresponsive = False

    async def refuse_store(self) -> None:
        """Let the store refuse all calls for a while."""
        with self.state.fault_tracker.track(STORE):
            self.state.site.api.error_status = 503
            await asyncio.sleep(self.state.rng.uniform(0.5, 7.0))
            self.state.site.api.error_status = None

    async def refuse_some(self) -> None:
        """Let the store refuse the calls of one gateway for a while."""
        port = self.state.site.gateways.store_ports[self.state.rng.choice(GATEWAYS)]
        with self.state.fault_tracker.track(STORE):
            self.state.site.api.refused_ports.add(port)
            await asyncio.sleep(self.state.rng.uniform(0.5, 5.0))
            self.state.site.api.refused_ports.discard(port)

    async def lose_answers_of_store(self) -> None:
        """Let the next few writes take effect without a response."""
        with self.state.fault_tracker.track(STORE):
            self.state.site.api.lose_answers += self.state.rng.randint(1, 3)

    async def forget_history(self) -> None:
        """Drop the store's history, so that all watches fail."""
        with self.state.fault_tracker.track(STORE):
            self.state.site.api.drop_history()

    async def copy_store(self) -> None:
        """Copy the store periodically, until cancelled."""
        while True:
            self.copies.append(self.state.site.api.take_copy())
            await asyncio.sleep(COPY_PERIOD_S)

    async def restore_store(self) -> None:
        """Let the store come back from a copy after a moment without responses."""
        with self.state.fault_tracker.track(STORE):
            self.state.site.api.unresponsive = True
            await asyncio.sleep(self.state.rng.uniform(0.0, 1.0))
            await self.state.site.api.restore(self.state.rng.choice(self.copies))
            self.copies.clear()
            self.copies.append(self.state.site.api.take_copy())
            self.state.site.api.unresponsive = False
            await asyncio.sleep(self.state.rng.uniform(0.0, REWRITE_DELAY_S))
            await self.write_again()
            await asyncio.sleep(EXPIRY_DELAY_S - REWRITE_DELAY_S)
            await self.expire_entries()

    async def write_again(self) -> None:
        """Write what the operator and the servers had written before a restore."""
        if self.state.changed_at:
            await self.put_configuration()
        for server in list(self.state.site.servers.values()):
            await self.register_again(server)
        for zone in ZONES:
            await self.put_evacuation(zone)

    async def expire_entries(self) -> None:
        """Remove the entries of servers that have ended."""
        stored = [
            name for kind, name in self.state.site.api.objects if kind == "servers"
        ]
        for name in stored:
            if name not in self.state.site.servers:
                await self.state.site.api.remove("servers", name)

    async def deafen_watches(self) -> None:
        """Let new watches hang for a while, then drop the history."""
        with self.state.fault_tracker.track(STORE):
            self.state.site.api.stalled_watches = True
            await asyncio.sleep(self.state.rng.uniform(0.3, 4.0))
            self.state.site.api.stalled_watches = False
            self.state.site.api.drop_history()

    async def cut_server(self) -> None:
        """Cut a server off for a while, without resetting its connections."""
        server = self.choose_server("files")
        server.relay.cut()
        await asyncio.sleep(self.state.rng.uniform(0.2, 5.0))
        server.relay.heal()

    async def restart_server(self) -> None:
        """Restart a server under its name: the new process has no leases."""
        server = self.choose_server("files")
        server.restart()
        # The previous process may have been draining; the new one isn't.
        self.state.drain_started_at.pop(server.name, None)
        await self.register(server)

    async def drain_server(self) -> None:
        """Add a server, drain another one for 3 s and then end it."""
        await self.add_server("files")
        server = self.choose_server("files")
        await self.register(server, "draining")
        if self.state.fault_tracker.had_no_fault_since(
            self.state.now() - STABILITY_WINDOW_S, STORE
        ):
            self.state.drain_started_at.setdefault(server.name, self.state.now())
        await asyncio.sleep(3.0)
        await self.end_server(server)

    async def leave_unannounced(self) -> None:
        """End a server that announces its leaving in its responses only."""
        await self.add_server("files")
        server = self.choose_server("files")
        server.leaving = True
        await asyncio.sleep(self.state.rng.uniform(2.5, 5.0))
        await self.end_server(server)

    async def end_server(self, server: FakeServer) -> None:
        """End a server and remove its entry."""
        if self.state.site.servers.pop(server.name, None) is None:
            return
        self.state.ended_servers.append(server)
        if ("servers", server.name) in self.state.site.api.objects:
            await self.state.site.api.remove("servers", server.name)
        server.relay.cut()
        # Otherwise it would count as a holder until its leases had expired.
        server.holder.drop(ALL_KEYS)

    async def reuse_address(self) -> None:
        """Add a server, and replace another one by a server of the service orders."""
        await self.add_server("files")
        server = self.choose_server("files")
        await self.state.site.reuse_address(
            server.name, f"orders-{self.state.next_number()}", "orders"
        )

    async def trouble_server(self) -> None:
        """Make a server refuse requests, lose responses or return wrong attempt ids."""
        server = self.choose_server(self.state.rng.choice(("files", "orders")))
        name = self.state.rng.choice(("shed", "lose_answers", "foreign"))
        setattr(server, name, self.state.rng.randint(1, 5))

    async def change_configuration(self) -> None:
        """Store a newer configuration, which replaces the route that was added last."""
        self.state.version += self.state.rng.randint(1, 3)
        await self.put_configuration()

    async def put_configuration(self) -> None:
        """Store the newest configuration."""
        routes = [FILES_ROUTE, ORDERS_ROUTE, URGENT_ROUTE, MEDIA_ROUTE]
        configuration = make_configuration(
            self.state.version,
            [*routes, self.state.new_route()],
            (COLD_S, COLD_RATE),
        )
        await self.state.site.api.put("config", "main", configuration)
        self.state.changed_at = self.state.now()

    # Faults of targets and zones under load.

    async def turn_cold(self) -> None:
        """Let a server turn cold."""
        await self.wait_until_well()
        server = self.state.load_rng.choice(list(self.state.site.servers.values()))
        name, stored_at, era = server.name, self.state.now(), self.state.site.api.era
        server.turn_cold(COLD_S)
        await self.register_again(server)
        await asyncio.sleep(NOTICE_DELAY_S)
        noticed = self.was_well_since(stored_at, STORE, PAUSES)
        await asyncio.sleep(COLD_S - NOTICE_DELAY_S)
        if noticed and server.name == name and self.state.site.api.era == era:
            period = (server, stored_at + NOTICE_DELAY_S, stored_at + COLD_S)
            self.state.cold_periods.append(period)

    async def evacuate_zone(self) -> None:
        """Evacuate a zone for a while; its servers may turn cold before they return."""
        rng, api = self.state.load_rng, self.state.site.api
        zone, duration_s = rng.choice(ZONES), rng.uniform(3.0, 11.0)
        await self.wait_until_well()
        if zone in self.state.evacuated:
            return
        self.state.evacuated.add(zone)
        stored_at, era = self.state.now(), api.era
        await self.put_evacuation(zone)
        await asyncio.sleep(NOTICE_DELAY_S)
        noticed = self.was_well_since(stored_at, STORE)
        await asyncio.sleep(duration_s - NOTICE_DELAY_S)
        removed_at = self.state.now()
        if noticed and duration_s > EVACUATE_S and api.era == era:
            period = (zone, stored_at + EVACUATE_S, removed_at)
            self.state.evacuated_periods.append(period)
        servers = {n: s for n, s in self.state.site.servers.items() if s.zone == zone}
        if rng.random() < 0.5:
            for server in servers.values():
                server.turn_cold(COLD_S)
                await self.register_again(server)
        self.state.evacuated.remove(zone)
        await self.put_evacuation(zone)
        await asyncio.sleep(COLD_S)
        if self.was_well_since(stored_at, STORE, *GATEWAYS):
            self.state.cold_periods += [
                (server, removed_at, removed_at + COLD_S)
                for name, server in servers.items()
                if server.name == name
            ]

    async def put_evacuation(self, zone: str) -> None:
        """Store or remove the object that asks for a zone's evacuation."""
        wanted, key = zone in self.state.evacuated, ("evacuations", zone)
        if wanted and key not in self.state.site.api.objects:
            await self.state.site.api.put(*key, {"reason": "soak"})
        elif not wanted and key in self.state.site.api.objects:
            await self.state.site.api.remove(*key)

    async def slow_servers(self) -> None:
        """Slow the servers of orders down for a while; some say so."""
        rng = self.state.load_rng
        servers = [s for s in self.state.site.servers.values() if s.service == "orders"]
        for server in servers:
            server.slowdown = rng.uniform(1.0, 20.0)
            server.reports_slowdown = rng.random() < 0.5
        await asyncio.sleep(rng.uniform(0.5, 4.0))
        for server in servers:
            server.slowdown = 1.0

    async def break_responses(self) -> None:
        """Let a server break the next few large responses off midway."""
        servers = [s for s in self.state.site.servers.values() if s.service == "orders"]
        self.state.load_rng.choice(servers).break_off += self.state.load_rng.randint(
            1, 4
        )

    async def spoil_entries(self) -> None:
        """Store an unreadable entry for a while."""
        rng, api = self.state.load_rng, self.state.site.api
        key = (
            rng.choice(("servers", "evacuations")),
            f"bad-{self.state.next_number()}",
        )
        await api.put(*key, orjson.Fragment(rng.choice(UNREADABLE)))
        await asyncio.sleep(rng.uniform(0.5, 4.0))
        if key in api.objects:
            await api.remove(*key)

    async def wait_until_well(self) -> None:
        """Wait until the store has been well for a while, up to a time."""
        with suppress(TimeoutError):
            async with asyncio.timeout(WELL_TIMEOUT_S):
                while not self.was_well_since(self.state.now(), STORE):
                    await asyncio.sleep(0.1)

    def was_well_since(self, stored_at: float, *parts: str) -> bool:
        """Return whether parts had no fault from before a change was stored (s)."""
        return self.state.fault_tracker.had_no_fault_since(
            stored_at - STABILITY_WINDOW_S, *parts
        )

    async def end_all_faults(self) -> None:
        """End all faults."""
        self.state.site.api.unresponsive, self.state.site.api.error_status = False, None
        self.state.site.api.refused_ports.clear()
        self.state.site.api.stalled_watches = False
        self.state.site.api.lose_answers = 0
        for server in self.state.site.servers.values():
            server.relay.heal()
            server.shed = server.lose_answers = server.foreign = 0
            server.break_off = 0
        for name in GATEWAYS:
            process = self.state.site.gateways.processes.get(name)
            if process is not None:
                process.send_signal(signal.SIGCONT)
            else:
                await self.state.site.gateways.start(name)
        self.state.usable = set(GATEWAYS)

    # Servers.

    async def add_server(self, service: str) -> None:
        """Start a server of a service, behind a relay."""
        number = self.state.next_number()
        await self.state.site.add_server(
            f"{service}-{number}",
            service,
            relayed=True,
            zone=ZONES[number % len(ZONES)],
        )

    def choose_server(self, service: str) -> FakeServer:
        """Return a random server of a service."""
        servers = [s for s in self.state.site.servers.values() if s.service == service]
        return self.state.rng.choice(servers)

    async def register_again(self, server: FakeServer) -> None:
        """Store a server's entry with the state that it had."""
        draining = server.name in self.state.drain_started_at
        await self.register(server, "draining" if draining else "ready")

    async def register(self, server: FakeServer, state: str = "ready") -> None:
        """Store a server's entry, unless the server has ended."""
        if server.name in self.state.site.servers:
            await self.state.site.api.put(
                "servers", server.name, server.make_registration(state)
            )
