"""Callers for trials: send requests by key and check each answer."""

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
    """Describe one request of a caller."""

    method: str
    path: str
    key: str
    body: bytes = b""


@dataclass
class Tally:
    """Count what callers saw, and how long it took (microseconds)."""

    sent: int = 0
    answered: int = 0
    not_run: int = 0
    unknown: int = 0
    wrong: int = 0
    failed: int = 0
    reasons: Counter = field(default_factory=Counter)
    orders_answered: list[str] = field(default_factory=list)
    orders_not_run: list[str] = field(default_factory=list)
    latency: HdrHistogram = field(
        default_factory=lambda: HdrHistogram(1, MAX_LATENCY_US, 3)
    )
    # Times of answered requests by key: start and end.
    served: dict[str, list[float]] = field(default_factory=dict)

    def percentile_ms(self, percent: float) -> float:
        """Return a percentile of the latency of answered requests."""
        return self.latency.get_value_at_percentile(percent) / 1000


@dataclass
class Caller:
    """Send requests over one session and check the answers."""

    session: ClientSession
    tally: Tally
    track_keys: bool = False

    async def send(self, url: str, call: Call) -> str:
        """Send one request; return its outcome as the caller sees it."""
        self.tally.sent += 1
        tag = f"{id(self.tally):x}-{self.tally.sent}"
        began = monotonic()
        try:
            async with self.session.request(
                call.method,
                url + call.path,
                headers={"Key": call.key, "Tag": tag},
                data=call.body or None,
                timeout=ClientTimeout(total=CALL_TIMEOUT_S),
            ) as answer:
                body = await answer.read()
                outcome = answer.headers.get("Request-Outcome", "none")
                reason = answer.headers.get("Outcome-Reason", "")
        except (ClientError, TimeoutError, OSError) as error:
            self.tally.failed += 1
            self.tally.reasons[type(error).__name__] += 1
            return "failed"
        self._count(call, tag, outcome, reason, body, began)
        return outcome

    def _count(
        self,
        call: Call,
        tag: str,
        outcome: str,
        reason: str,
        body: bytes,
        began: float,
    ) -> None:
        tally = self.tally
        now = monotonic()
        if outcome == "answered":
            tally.answered += 1
            tally.latency.record_value(int((now - began) * 1_000_000))
            if not _is_own_answer(body, call, tag):
                tally.wrong += 1
            if call.method == "POST":
                tally.orders_answered.append(tag)
            if self.track_keys:
                tally.served.setdefault(call.key, []).append(now)
        elif outcome == "not-run":
            tally.not_run += 1
            tally.orders_not_run.append(tag)
            tally.reasons[reason] += 1
        else:
            tally.unknown += 1
            tally.reasons[reason or outcome] += 1


def _is_own_answer(body: bytes, call: Call, tag: str) -> bool:
    try:
        form = orjson.loads(body)
    except ValueError:
        return False
    whole = form.get("size") == len(call.body) and len(form.get("padding", "")) == 400
    return whole and form.get("key") == call.key and form.get("tag") == tag


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
    """Send requests until the time or number is up, at a bounded rate if given."""
    tally = Tally()
    caller = Caller(session, tally, track_keys)
    ends = monotonic() + seconds
    rng = random.Random(seed)
    pause_s = connections / rate if rate else 0.0

    async def work() -> None:
        await asyncio.sleep(rng.random() * pause_s)
        due = monotonic()
        while monotonic() < ends and tally.sent < requests:
            await caller.send(rng.choice(urls()), choose(rng))
            if pause_s:
                due = max(due + pause_s, monotonic() - 1.0)
                await asyncio.sleep(max(0.0, due - monotonic()))

    await asyncio.gather(*(work() for _ in range(connections)))
    return tally
