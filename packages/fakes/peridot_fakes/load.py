"""Load for trials of peridotd: callers that send requests and check the responses."""

import asyncio
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from time import monotonic

import orjson
from aiohttp import ClientError, ClientSession, ClientTimeout
from hdrh.histogram import HdrHistogram

MAX_LATENCY_US = 60_000_000
CALL_TIMEOUT_S = 70.0


@dataclass(frozen=True)
class Call:
    """A request of a caller."""

    method: str
    path: str
    key: str
    body: bytes = b""


@dataclass
class Tally:
    """Outcomes of requests as the callers saw them; the latency is in microseconds.

    A request is wrong if it was answered with a body that doesn't match it, and failed
    if the daemon couldn't be reached or gave no response.
    """

    sent: int = 0
    answered: int = 0
    # Those answered before the load ended; the others were still queued then.
    answered_in_window: int = 0
    not_run: int = 0
    unknown: int = 0
    wrong: int = 0
    failed: int = 0
    reasons: Counter = field(default_factory=Counter)
    # Tags of answered POST requests, which must run once, and of all requests that
    # were reported as not run.
    answered_post_tags: list[str] = field(default_factory=list)
    not_run_tags: list[str] = field(default_factory=list)
    latency: HdrHistogram = field(
        default_factory=lambda: HdrHistogram(1, MAX_LATENCY_US, 3)
    )
    # Times (s) at which requests were answered, by key, if the caller tracks keys.
    served: dict[str, list[float]] = field(default_factory=dict)

    def percentile_ms(self, percent: float) -> float:
        """Return a percentile (ms) of the latency of answered requests."""
        return self.latency.get_value_at_percentile(percent) / 1000


@dataclass
class Caller:
    """Send requests over a session and record the outcomes."""

    session: ClientSession
    tally: Tally
    track_keys: bool = False
    # End of the load (s, monotonic clock).
    ends_at: float = float("inf")

    async def send(self, url: str, call: Call) -> str:
        """Send a request; return its outcome as the caller sees it."""
        self.tally.sent += 1
        tag = f"{id(self.tally):x}-{self.tally.sent}"
        started_at = monotonic()
        try:
            async with self.session.request(
                call.method,
                url + call.path,
                headers={"Key": call.key, "Tag": tag},
                data=call.body or None,
                timeout=ClientTimeout(total=CALL_TIMEOUT_S),
            ) as response:
                body = await response.read()
                outcome = response.headers.get("Request-Outcome", "none")
                reason = response.headers.get("Outcome-Reason", "")
        except (ClientError, TimeoutError, OSError) as error:
            self.tally.failed += 1
            self.tally.reasons[type(error).__name__] += 1
            return "failed"
        self._count(call, tag, outcome, reason, body, started_at)
        return outcome

    def _count(
        self,
        call: Call,
        tag: str,
        outcome: str,
        reason: str,
        body: bytes,
        started_at: float,
    ) -> None:
        tally = self.tally
        now = monotonic()
        if outcome == "answered":
            tally.answered += 1
            tally.answered_in_window += now <= self.ends_at
            tally.latency.record_value(int((now - started_at) * 1_000_000))
            if not _is_matching_response(body, call, tag):
                tally.wrong += 1
            if call.method == "POST":
                tally.answered_post_tags.append(tag)
            if self.track_keys:
                tally.served.setdefault(call.key, []).append(now)
        elif outcome == "not-run":
            tally.not_run += 1
            tally.not_run_tags.append(tag)
            tally.reasons[reason] += 1
        else:
            tally.unknown += 1
            tally.reasons[reason or outcome] += 1


def _is_matching_response(body: bytes, call: Call, tag: str) -> bool:
    try:
        data = orjson.loads(body)
    except ValueError:
        return False
    complete = (
        data.get("size") == len(call.body) and len(data.get("padding", "")) == 400
    )
    return complete and data.get("key") == call.key and data.get("tag") == tag


async def run_load(
    session: ClientSession,
    urls: Callable[[], list[str]],
    choose: Callable[[random.Random], Call],
    *,
    seconds: float = 1e9,
    requests: int = 10**12,
    connections: int = 8,
    rate: float = 0.0,
    seed: int = 1,
    track_keys: bool = False,
) -> Tally:
    """Send requests until the time (s) has passed or the number is reached.

    The rate (requests a second), if given, limits all connections together.
    """
    tally = Tally()
    ends_at = monotonic() + seconds
    caller = Caller(session, tally, track_keys, ends_at)
    rng = random.Random(seed)
    pause_s = connections / rate if rate else 0.0

    async def send_requests() -> None:
        await asyncio.sleep(rng.random() * pause_s)
        next_send_at = monotonic()
        while monotonic() < ends_at and tally.sent < requests:
            await caller.send(rng.choice(urls()), choose(rng))
            if pause_s:
                next_send_at = max(next_send_at + pause_s, monotonic() - 1.0)
                await asyncio.sleep(max(0.0, next_send_at - monotonic()))

    await asyncio.gather(*(send_requests() for _ in range(connections)))
    return tally
