"""State that load, faults and checks of the gateway mode's soak share."""

import asyncio
import random
from collections import Counter
from dataclasses import dataclass, field

from peridot_fakes.disturbances import FaultTracker
from peridot_fakes.holdserver import FakeServer
from peridot_fakes.site import FILES_ROUTE, HOST, Site

GATEWAYS = ("vm-1", "vm-2", "vm-3")
# The guaranteed delays apply to requests whose gateway and store have had no fault for
# this long.
STABILITY_WINDOW_S = 3.0
ZONES = ("zone-a", "zone-b")
# How long targets are cold (s), and the requests that they bear then (1/s).
COLD_S, COLD_RATE = 6.0, 4.5
# Routes to the service orders that are more and less urgent than ORDERS_ROUTE.
URGENT_ROUTE = ["r3", HOST, "/urgent/", "idempotent", 1.2, 0.5, 0, None, 2, "orders"]
MEDIA_ROUTE = ["r4", HOST, "/media/", "download", None, 1.0, 3, None, 2, "orders"]


@dataclass
class Verdict:
    """The result of a soak.

    `problems` counts broken guarantees and must be empty; `faults` counts injected
    faults by name, `checked` the requests in periods with a limit, and `answers`
    responses by status or error.
    """

    problems: Counter = field(default_factory=Counter)
    details: list[str] = field(default_factory=list)
    faults: Counter = field(default_factory=Counter)
    checked: Counter = field(default_factory=Counter)
    answers: Counter = field(default_factory=Counter)

    def record_problem(self, problem: str, detail: str) -> None:
        """Count a broken guarantee and keep the details."""
        self.problems[problem] += 1
        self.details.append(f"{problem}: {detail}")


@dataclass
class SoakState:
    """A site, and what was done to it and seen of it so far."""

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
    # When (s) a gateway first passed on a response of a server that announced its
    # leaving, by gateway and server. Restarts and pauses of the gateway end it.
    announced_at: dict[tuple[str, str], float] = field(default_factory=dict)
    # Draws cold targets, evacuations and the like, apart from the other faults.
    load_rng: random.Random = field(init=False)
    # The zones that are evacuated, and periods (s) in which no request may arrive at
    # targets of a zone.
    evacuated: set[str] = field(default_factory=set)
    evacuated_periods: list[tuple[str, float, float]] = field(default_factory=list)
    # Periods (s) in which all gateways know that a server is cold.
    cold_periods: list[tuple[FakeServer, float, float]] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.load_rng = random.Random(repr(self.rng.getstate()))

    def now(self) -> float:
        """Return the event loop's time (s)."""
        return asyncio.get_running_loop().time()

    def next_number(self) -> int:
        """Return an unused number."""
        self.number += 1
        return self.number

    def new_route(self) -> list:
        """Return the route that only the newest configuration has."""
        name = f"new-{self.version}"
        return [name, FILES_ROUTE[1], f"/{name}/", *FILES_ROUTE[3:]]
