"""Pattern: a target under overload refuses requests and asks for a pause.

Callers, retries and waiting requests of a VM must not reach it during that time, and
must not all return at its end.
"""

import asyncio
import random
from time import monotonic

import pytest
from hypothesis import given, strategies as st

from peridot_gateway.estimates import MAX_PAUSE_S, PAUSE_RAMP_S, TargetEstimate
from peridot_gateway.sender import AttemptResult
from peridot_routing.outcomes import Answered, NotRun, Reason

SLOTS = 3
PAUSE_S = 0.4


class OverloadedTargets:
    """A sender whose targets refuse the first request, with a pause, then respond."""

    def __init__(self) -> None:
        self.sent: list[tuple[str, float]] = []
        self.paused: set[str] = set()

    async def attempt(self, request, target, silence_timeout_s, may_give_up):
        self.sent.append((target.name, monotonic()))
        estimate = self.estimates.get(target.name)
        if target.name not in self.paused:
            self.paused.add(target.name)
            estimate.pause(PAUSE_S, monotonic())
            return AttemptResult(NotRun(Reason.SHED, int(PAUSE_S * 1000)))
        estimate.in_flight += 1
        await asyncio.sleep(0.02)
        estimate.in_flight -= 1
        return AttemptResult(Answered(200, (), b"", target.name))


@pytest.fixture
def overloaded(route_with):
    def build(owners=None):
        router, _ = route_with([], owners=owners)
        sender = OverloadedTargets()
        sender.estimates = router.parts.estimates
        router.parts.sender = sender
        return router, sender

    return build


def sends_during_pause(sender: OverloadedTargets) -> list[str]:
    first = {name: at for name, at in reversed(sender.sent)}
    return [name for name, at in sender.sent if 0 < at - first[name] < PAUSE_S]


def test_retries_and_new_requests_avoid_paused_targets(overloaded, make_request):
    async def scenario():
        router, sender = overloaded()
        for _ in range(60):
            await router.handle(make_request())
        assert not sends_during_pause(sender)
        outcome = await router.handle(make_request())
        assert isinstance(outcome, NotRun)
        assert 0 < outcome.retry_after_ms <= 1000 * (PAUSE_S + PAUSE_RAMP_S)

    asyncio.run(scenario())


def test_keys_of_a_paused_owner_are_refused_at_once(overloaded, make_request, owned_by):
    """The pause is longer than the caller can wait."""

    async def scenario():
        router, sender = overloaded(owned_by("p"))
        await router.handle(make_request(key=5, remaining_s=0.1))
        began = monotonic()
        outcome = await router.handle(make_request(key=5, remaining_s=0.5))
        assert isinstance(outcome, NotRun) and monotonic() - began < 0.05
        assert len(sender.sent) == 1

    asyncio.run(scenario())


def test_keys_of_a_paused_owner_wait_for_a_short_pause(
    overloaded, make_request, owned_by
):
    async def scenario():
        router, sender = overloaded(owned_by("p"))
        await router.handle(make_request(key=5, remaining_s=0.1))
        outcome = await router.handle(make_request(key=5, remaining_s=2.0))
        assert isinstance(outcome, Answered)
        assert not sends_during_pause(sender)

    asyncio.run(scenario())


def test_waiting_requests_do_not_reach_a_target_together_after_its_pause(
    overloaded, make_request, owned_by
):
    async def scenario():
        router, sender = overloaded(owned_by("p"))
        await router.handle(make_request(key=5, remaining_s=0.1))
        outcomes = await asyncio.gather(
            *(router.handle(make_request(key=5, remaining_s=2.0)) for _ in range(30))
        )
        first, *later = [at for _, at in sender.sent]
        early = [at for at in later if at - first < PAUSE_S + PAUSE_RAMP_S / SLOTS]
        assert len(early) <= SLOTS
        refused = [item for item in outcomes if isinstance(item, NotRun)]
        assert len(refused) + len(later) == 30
        assert all(item.retry_after_ms > 0 for item in refused)

    asyncio.run(scenario())


@given(st.lists(st.floats(0.0, 1e9), min_size=1), st.integers(0, 1_000))
def test_pauses_extend_each_other_and_are_bounded(durations, seed):
    estimate = TargetEstimate()
    now = random.Random(seed).uniform(0.0, 1e6)
    for duration_s in durations:
        estimate.pause(duration_s, now)
    expected_s = min(max(durations), MAX_PAUSE_S)
    assert estimate.pause_remaining_s(now) == pytest.approx(expected_s, abs=1e-6)


def test_slots_are_used_again_one_by_one_after_a_pause():
    estimate = TargetEstimate(paused_until=10.0)
    admitted = []
    for elapsed_s in (0.0, 0.4, 0.7, PAUSE_RAMP_S):
        estimate.in_flight = 0
        while not estimate.is_full(SLOTS, 10.0 + elapsed_s) and estimate.in_flight < 9:
            estimate.in_flight += 1
        admitted.append(estimate.in_flight)
    assert admitted == [1, 1, 2, 9]
