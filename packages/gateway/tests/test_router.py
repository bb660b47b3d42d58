"""Attempts, repeats and final outcomes, with a sender that follows a script."""

import asyncio
import random
from time import monotonic

import pytest

from peridot_gateway.admission import Admission
from peridot_gateway.budget import BudgetTerms
from peridot_gateway.dialect import AnswerFacts, LoadHint
from peridot_gateway.estimates import Estimates
from peridot_gateway.owners import Owners, OwnerTable
from peridot_gateway.picker import Picker
from peridot_gateway.router import GatewayRouter, RouterParts
from peridot_gateway.sender import Attempt
from peridot_placement.decisions import MemoryDecisionLog
from peridot_routing.outcomes import Answered, NotRun, Reason, Unknown

# Targets that leave serve for so long (s).
LEAVING_SERVES_S = 1.0

OK = Attempt(Answered(200, (), b"body", "t"))
ERROR = Attempt(Answered(500, (), b"", "t"))
LOST = Attempt(Unknown(Reason.CONNECTION_LOST))
REFUSED = Attempt(NotRun(Reason.CONNECTION_REFUSED))
MISDIRECTED = Attempt(NotRun(Reason.NOT_OWNER))


def shed(waiting: int) -> Attempt:
    facts = AnswerFacts(
        not_run=True,
        misdirected=False,
        answered_by=None,
        foreign=False,
        signed=False,
        load=LoadHint(3, waiting, 3),
        retry_after_s=None,
    )
    return Attempt(NotRun(Reason.SHED), facts)


OTHER_INSTANCE = Attempt(
    NotRun(Reason.NOT_OWNER),
    AnswerFacts(
        not_run=True,
        misdirected=True,
        answered_by="another",
        foreign=False,
        signed=False,
        load=None,
        retry_after_s=None,
    ),
)


class ScriptedSender:
    """Return attempts in order; the last one again and again."""

    def __init__(self, attempts: list[Attempt]) -> None:
        self.attempts = attempts
        self.sent: list[str] = []

    async def attempt(self, request, target, limit_s):
        self.sent.append(target.name)
        await asyncio.sleep(0)
        at = min(len(self.sent), len(self.attempts)) - 1
        return self.attempts[at]


class Targets:
    """Hold targets as the source does."""

    age_s = 0.0

    def __init__(self, targets) -> None:
        self.targets = {target.name: target for target in targets}
        # For how long targets have been leaving (s).
        self.leaving_for: dict[str, float] = {}

    def of_service(self, service):
        return list(self.targets.values())

    def leaving_s(self, name):
        return self.leaving_for.get(name, 0.0)


@pytest.fixture
def route_with(make_target):
    def build(attempts, minimum=60.0, owners=None):
        rng = random.Random(3)
        estimates = Estimates()
        sender = ScriptedSender(attempts)
        parts = RouterParts(
            owners or Owners(),
            Targets([make_target(name) for name in ("p", "q", "r")]),
            estimates,
            Picker("a", estimates, rng),
            Admission(estimates),
            sender,
            MemoryDecisionLog(),
            rng,
        )
        terms = BudgetTerms(0.0, minimum, 10.0)
        return GatewayRouter(parts, terms, lambda: 1, LEAVING_SERVES_S), sender

    return build


def owned_by(name: str) -> Owners:
    owners = Owners()
    owners.take(1, 1, {"files": OwnerTable((0,), (name,))})
    return owners


# Guards against requests at a target that leaves, by an owners' table that nobody
# renews: the placer is lost, or has lost the store.
def test_an_owner_that_has_been_leaving_for_long_gets_no_new_requests(
    route_with, make_request
):
    router, sender = route_with([OK], owners=owned_by("p"))
    router.parts.targets.leaving_for = {"p": 1.2}
    outcome = asyncio.run(router.handle(make_request(key=5)))
    assert outcome.reason is Reason.SLICE_MOVING
    assert sender.sent == []


def test_an_owner_that_has_just_said_that_it_leaves_is_still_used(
    route_with, make_request
):
    router, sender = route_with([OK], owners=owned_by("p"))
    router.parts.targets.leaving_for = {"p": 0.5}
    assert asyncio.run(router.handle(make_request(key=5))) == OK.outcome
    assert sender.sent == ["p"]


def test_an_order_is_sent_once_if_its_outcome_is_unknown(route_with, make_request):
    router, sender = route_with([LOST, OK])
    outcome = asyncio.run(router.handle(make_request(idempotent=False)))
    assert isinstance(outcome, Unknown)
    assert len(sender.sent) == 1


def test_an_order_goes_elsewhere_if_it_certainly_did_not_run(route_with, make_request):
    router, sender = route_with([REFUSED, OK])
    outcome = asyncio.run(router.handle(make_request(idempotent=False)))
    assert isinstance(outcome, Answered)
    assert len(sender.sent) == 2


def test_a_failure_of_an_idempotent_request_is_repeated(route_with, make_request):
    for failure in (LOST, ERROR, shed(0)):
        router, sender = route_with([failure, OK])
        outcome = asyncio.run(router.handle(make_request()))
        assert outcome == OK.outcome
        assert len(set(sender.sent)) == 2


def test_no_more_targets_than_the_route_allows(route_with, make_request):
    router, sender = route_with([LOST])
    outcome = asyncio.run(router.handle(make_request(max_targets=2)))
    assert isinstance(outcome, Unknown)
    assert len(sender.sent) == 2


def test_not_run_is_said_only_if_no_attempt_may_have_run(route_with, make_request):
    router, _ = route_with([LOST, shed(0)])
    outcome = asyncio.run(router.handle(make_request()))
    assert isinstance(outcome, Unknown)
    router, _ = route_with([shed(0)])
    outcome = asyncio.run(router.handle(make_request()))
    assert isinstance(outcome, NotRun)


def test_repeats_stop_when_the_budget_is_used_up(route_with, make_request):
    router, sender = route_with([LOST], minimum=0.0)
    asyncio.run(router.handle(make_request()))
    assert len(sender.sent) == 1


def test_a_full_owner_is_not_asked_again(route_with, make_request):
    """Answers the pattern of a hot key: repeats only add to its owner's queue."""
    router, sender = route_with([shed(12), OK], owners=owned_by("p"))
    outcome = asyncio.run(router.handle(make_request(key=5)))
    assert isinstance(outcome, NotRun)
    assert len(sender.sent) == 1


def test_an_owner_that_sheds_with_room_is_asked_again(route_with, make_request):
    """Answers the pattern of a grey owner: no other target holds the key."""
    router, sender = route_with([shed(0), OK], owners=owned_by("p"))
    outcome = asyncio.run(router.handle(make_request(key=5)))
    assert isinstance(outcome, Answered)
    assert sender.sent == ["p", "p"]


def test_a_request_waits_for_a_range_that_moves(route_with, make_request):
    async def play():
        owners = owned_by("")
        router, sender = route_with([OK], owners=owners)
        task = asyncio.create_task(router.handle(make_request(key=5)))
        await asyncio.sleep(0.05)
        assert not sender.sent
        owners.take(1, 2, {"files": OwnerTable((0,), ("q",))})
        assert isinstance(await task, Answered)
        assert sender.sent == ["q"]

    asyncio.run(play())


def test_a_key_without_an_owner_is_refused_before_the_deadline(
    route_with, make_request
):
    async def play():
        router, _ = route_with([OK], owners=owned_by(""))
        began = monotonic()
        outcome = await router.handle(make_request(key=5, left_s=1.0))
        assert isinstance(outcome, NotRun)
        assert outcome.retry_after_ms > 0
        assert monotonic() - began < 0.7

    asyncio.run(play())


def test_a_misdirected_request_follows_the_next_table(route_with, make_request):
    async def play():
        owners = owned_by("p")
        router, sender = route_with([MISDIRECTED, OK], owners=owners)
        task = asyncio.create_task(router.handle(make_request(key=5)))
        await asyncio.sleep(0.02)
        owners.take(1, 2, {"files": OwnerTable((0,), ("q",))})
        assert isinstance(await task, Answered)
        assert sender.sent == ["p", "q"]

    asyncio.run(play())


def test_keys_are_counted_once_a_request(route_with, make_request):
    router, _ = route_with([MISDIRECTED, shed(0), OK], owners=owned_by("p"))
    asyncio.run(router.handle(make_request(key=5)))
    assert router.take_key_counts() == {"files": {5: 1}}
    assert router.take_key_counts() == {}


def test_keys_long_without_an_owner_are_refused_at_once(route_with, make_request):
    """Answers the pattern of a dead owner: its hold runs out for seconds."""

    async def play():
        owners = owned_by("")
        now = monotonic()
        owners.clock = lambda: now + 2.0
        owners.unowned = {("files", 0): now}
        router, _ = route_with([OK], owners=owners)
        began = monotonic()
        outcome = await router.handle(make_request(key=5))
        assert isinstance(outcome, NotRun)
        assert outcome.retry_after_ms > 0
        assert monotonic() - began < 0.1

    asyncio.run(play())


def test_an_address_that_another_target_took_is_left_alone(route_with, make_request):
    """Answers the pattern of a reused address that the table still names.

    Seen in hunt-d263-35: repeats to it used up the budget of the service there.
    """

    async def play():
        router, sender = route_with([OTHER_INSTANCE], owners=owned_by("p"))
        for _ in range(20):
            outcome = await router.handle(make_request(key=5, left_s=0.2))
            assert isinstance(outcome, NotRun)
        assert sender.sent == ["p"]

    asyncio.run(play())


def test_an_owner_without_its_hold_is_asked_ever_less_often(route_with, make_request):
    """Answers the pattern of a store that is away for longer than holds last.

    Seen on a day of our own: each request asked every 50 ms until its deadline.
    """
    router, sender = route_with([MISDIRECTED], owners=owned_by("p"))
    outcome = asyncio.run(router.handle(make_request(key=5, left_s=0.8)))
    assert isinstance(outcome, NotRun)
    assert len(sender.sent) <= 5
