"""Attempts, retries and final outcomes, with a scripted sender."""

import asyncio
import random
from time import monotonic

import pytest

from peridot_gateway.admission import Admission
from peridot_gateway.budget import RetryBudgetLimits
from peridot_gateway.dialect import ReportedLoad, ResponseHeaders
from peridot_gateway.estimates import Estimates
from peridot_gateway.owners import Owners, OwnerTable
from peridot_gateway.picker import Picker
from peridot_gateway.router import GatewayRouter, RouterParts
from peridot_gateway.sender import AttemptResult
from peridot_placement.decisions import MemoryDecisionLog
from peridot_routing.outcomes import Answered, NotRun, Reason, Unknown

# For how long leaving targets get new requests (s).
LEAVING_GRACE_S = 1.0

OK = AttemptResult(Answered(200, (), b"body", "t"))
ERROR = AttemptResult(Answered(500, (), b"", "t"))
LOST = AttemptResult(Unknown(Reason.CONNECTION_LOST))
REFUSED = AttemptResult(NotRun(Reason.CONNECTION_REFUSED))
NOT_OWNER = AttemptResult(NotRun(Reason.NOT_OWNER))


def make_shed(waiting: int) -> AttemptResult:
    response_headers = ResponseHeaders(
        not_run=True,
        misdirected=False,
        answered_by=None,
        for_other_request=False,
        signed=False,
        load=ReportedLoad(3, waiting, 3),
        retry_after_s=None,
    )
    return AttemptResult(NotRun(Reason.SHED), response_headers)


OTHER_TARGET = AttemptResult(
    NotRun(Reason.NOT_OWNER),
    ResponseHeaders(
        not_run=True,
        misdirected=True,
        answered_by="another",
        for_other_request=False,
        signed=False,
        load=None,
        retry_after_s=None,
    ),
)


class ScriptedSender:
    """A sender that returns given results in order, and the last one repeatedly."""

    def __init__(self, results: list[AttemptResult]) -> None:
        self.results = results
        self.sent: list[str] = []

    async def attempt(self, request, target, silence_timeout_s):
        self.sent.append(target.name)
        await asyncio.sleep(0)
        at = min(len(self.sent), len(self.results)) - 1
        return self.results[at]


class FixedTargetSource:
    """A target source with fixed targets."""

    age_s = 0.0

    def __init__(self, targets) -> None:
        self.targets = {target.name: target for target in targets}
        # For how long targets have been leaving (s).
        self.leaving_times: dict[str, float] = {}

    def of_service(self, service):
        return list(self.targets.values())

    def leaving_for_s(self, name):
        return self.leaving_times.get(name, 0.0)


@pytest.fixture
def route_with(make_target):
    def build(results, minimum=60.0, owners=None):
        rng = random.Random(3)
        estimates = Estimates()
        sender = ScriptedSender(results)
        parts = RouterParts(
            owners or Owners(),
            FixedTargetSource([make_target(name) for name in ("p", "q", "r")]),
            estimates,
            Picker("a", estimates, rng),
            Admission(estimates),
            sender,
            MemoryDecisionLog(),
            rng,
        )
        limits = RetryBudgetLimits(0.0, minimum, 10.0)
        return GatewayRouter(parts, limits, lambda: 1, LEAVING_GRACE_S), sender

    return build


def owned_by(name: str) -> Owners:
    owners = Owners()
    owners.update(1, 1, {"files": OwnerTable((0,), (name,))})
    return owners


# Guards against requests to a leaving target by an outdated owner table: the placer is
# lost, or can't reach the store.
def test_an_owner_that_has_been_leaving_for_long_gets_no_new_requests(
    route_with, make_request
):
    router, sender = route_with([OK], owners=owned_by("p"))
    router.parts.targets.leaving_times = {"p": 1.2}
    outcome = asyncio.run(router.handle(make_request(key=5)))
    assert outcome.reason is Reason.SLICE_MOVING
    assert sender.sent == []


def test_an_owner_that_has_just_begun_to_leave_still_gets_requests(
    route_with, make_request
):
    router, sender = route_with([OK], owners=owned_by("p"))
    router.parts.targets.leaving_times = {"p": 0.5}
    assert asyncio.run(router.handle(make_request(key=5))) == OK.outcome
    assert sender.sent == ["p"]


def test_a_non_idempotent_request_is_sent_once_if_its_outcome_is_unknown(
    route_with, make_request
):
    router, sender = route_with([LOST, OK])
    outcome = asyncio.run(router.handle(make_request(idempotent=False)))
    assert isinstance(outcome, Unknown)
    assert len(sender.sent) == 1


def test_a_non_idempotent_request_is_retried_if_it_certainly_did_not_run(
    route_with, make_request
):
    router, sender = route_with([REFUSED, OK])
    outcome = asyncio.run(router.handle(make_request(idempotent=False)))
    assert isinstance(outcome, Answered)
    assert len(sender.sent) == 2


def test_a_failed_idempotent_request_is_retried(route_with, make_request):
    for failure in (LOST, ERROR, make_shed(0)):
        router, sender = route_with([failure, OK])
        outcome = asyncio.run(router.handle(make_request()))
        assert outcome == OK.outcome
        assert len(set(sender.sent)) == 2


def test_a_request_is_sent_to_no_more_targets_than_the_route_allows(
    route_with, make_request
):
    router, sender = route_with([LOST])
    outcome = asyncio.run(router.handle(make_request(max_targets=2)))
    assert isinstance(outcome, Unknown)
    assert len(sender.sent) == 2


def test_the_outcome_is_not_run_only_if_no_attempt_may_have_run(
    route_with, make_request
):
    router, _ = route_with([LOST, make_shed(0)])
    outcome = asyncio.run(router.handle(make_request()))
    assert isinstance(outcome, Unknown)
    router, _ = route_with([make_shed(0)])
    outcome = asyncio.run(router.handle(make_request()))
    assert isinstance(outcome, NotRun)


def test_retries_stop_when_the_budget_is_used_up(route_with, make_request):
    router, sender = route_with([LOST], minimum=0.0)
    asyncio.run(router.handle(make_request()))
    assert len(sender.sent) == 1


def test_requests_are_not_retried_at_an_owner_with_a_full_queue(
    route_with, make_request
):
    """Guards against retries for a hot key, which only add to its owner's queue."""
    router, sender = route_with([make_shed(12), OK], owners=owned_by("p"))
    outcome = asyncio.run(router.handle(make_request(key=5)))
    assert isinstance(outcome, NotRun)
    assert len(sender.sent) == 1


def test_requests_are_retried_at_an_owner_that_sheds_with_a_free_queue(
    route_with, make_request
):
    """Guards against refusals by an owner with a grey failure: no other has the key."""
    router, sender = route_with([make_shed(0), OK], owners=owned_by("p"))
    outcome = asyncio.run(router.handle(make_request(key=5)))
    assert isinstance(outcome, Answered)
    assert sender.sent == ["p", "p"]


def test_a_request_waits_for_a_range_that_moves(route_with, make_request):
    async def scenario():
        owners = owned_by("")
        router, sender = route_with([OK], owners=owners)
        task = asyncio.create_task(router.handle(make_request(key=5)))
        await asyncio.sleep(0.05)
        assert not sender.sent
        owners.update(1, 2, {"files": OwnerTable((0,), ("q",))})
        assert isinstance(await task, Answered)
        assert sender.sent == ["q"]

    asyncio.run(scenario())


def test_a_key_without_an_owner_is_refused_before_the_deadline(
    route_with, make_request
):
    async def scenario():
        router, _ = route_with([OK], owners=owned_by(""))
        began = monotonic()
        outcome = await router.handle(make_request(key=5, remaining_s=1.0))
        assert isinstance(outcome, NotRun)
        assert outcome.retry_after_ms > 0
        assert monotonic() - began < 0.7

    asyncio.run(scenario())


def test_a_misdirected_request_is_retried_at_the_owner_in_the_next_table(
    route_with, make_request
):
    async def scenario():
        owners = owned_by("p")
        router, sender = route_with([NOT_OWNER, OK], owners=owners)
        task = asyncio.create_task(router.handle(make_request(key=5)))
        await asyncio.sleep(0.02)
        owners.update(1, 2, {"files": OwnerTable((0,), ("q",))})
        assert isinstance(await task, Answered)
        assert sender.sent == ["p", "q"]

    asyncio.run(scenario())


def test_keys_are_counted_once_per_request(route_with, make_request):
    router, _ = route_with([NOT_OWNER, make_shed(0), OK], owners=owned_by("p"))
    asyncio.run(router.handle(make_request(key=5)))
    assert router.pop_key_counts() == {"files": {5: 1}}
    assert router.pop_key_counts() == {}


def test_keys_long_without_an_owner_are_refused_at_once(route_with, make_request):
    """Guards against long waits for a dead owner, whose lease expires after seconds."""

    async def scenario():
        owners = owned_by("")
        now = monotonic()
        owners.clock = lambda: now + 2.0
        owners.unowned_since = {("files", 0): now}
        router, _ = route_with([OK], owners=owners)
        began = monotonic()
        outcome = await router.handle(make_request(key=5))
        assert isinstance(outcome, NotRun)
        assert outcome.retry_after_ms > 0
        assert monotonic() - began < 0.1

    asyncio.run(scenario())


def test_an_owner_whose_address_was_reused_gets_no_further_requests(
    route_with, make_request
):
    """Guards against retries at a reused address that the owner table still lists.

    They used up the retry budget of the service on this VM (hunt-d263-35).
    """

    async def scenario():
        router, sender = route_with([OTHER_TARGET], owners=owned_by("p"))
        for _ in range(20):
            outcome = await router.handle(make_request(key=5, remaining_s=0.2))
            assert isinstance(outcome, NotRun)
        assert sender.sent == ["p"]

    asyncio.run(scenario())


def test_retries_at_an_owner_without_its_lease_back_off(route_with, make_request):
    """Guards against frequent retries while the store is unavailable for long.

    Owners then lose their leases, and each request was retried every 50 ms until its
    deadline.
    """
    router, sender = route_with([NOT_OWNER], owners=owned_by("p"))
    outcome = asyncio.run(router.handle(make_request(key=5, remaining_s=0.8)))
    assert isinstance(outcome, NotRun)
    assert len(sender.sent) <= 5
