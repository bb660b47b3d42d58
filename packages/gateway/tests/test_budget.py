"""Retries of all VMs together stay within the budget in any window."""

import random

from hypothesis import given, settings, strategies as st

from peridot_gateway.budget import RetryBudget, RetryBudgetLimits

LIMITS = RetryBudgetLimits(ratio=0.2, minimum=60.0, window_s=10.0)
VMS = 10


class Clock:
    def __init__(self) -> None:
        self.now = 100.0

    def __call__(self) -> float:
        return self.now


@settings(max_examples=30, deadline=None)
@given(st.integers(0, 1_000_000))
def test_no_window_exceeds_the_budget_in_a_retry_storm(seed):
    """Guards against a retry storm when targets refuse half of the requests."""
    rng = random.Random(seed)
    clock = Clock()
    budgets = [RetryBudget(LIMITS, lambda: VMS, clock) for _ in range(VMS)]
    requests, retries = [], []
    for _ in range(3_000):
        clock.now += rng.expovariate(100)
        budget = rng.choice(budgets)
        budget.record_request()
        requests.append(clock.now)
        while rng.random() < 0.6:
            if budget.try_spend():
                retries.append(clock.now)
    for end in range(100, int(clock.now) + 1):
        begin = end - LIMITS.window_s
        asked = sum(begin < at <= end for at in requests)
        again = sum(begin < at <= end for at in retries)
        assert again <= LIMITS.ratio * asked + LIMITS.minimum


def test_a_vm_with_little_traffic_may_retry():
    clock = Clock()
    budget = RetryBudget(LIMITS, lambda: VMS, clock)
    budget.record_request()
    assert budget.try_spend()


def test_the_budget_is_available_again_after_a_window():
    clock = Clock()
    budget = RetryBudget(LIMITS, lambda: VMS, clock)
    while budget.try_spend():
        pass
    clock.now += LIMITS.window_s + 1
    assert budget.try_spend()
