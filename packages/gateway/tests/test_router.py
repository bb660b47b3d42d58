"""Attempts, retries and final outcomes, with a scripted sender."""

import asyncio
from time import monotonic

from peridot_gateway.dialect import ReportedLoad, ResponseHeaders
from peridot_gateway.owners import OwnerTable
from peridot_gateway.sender import AttemptResult
from peridot_routing.outcomes import Answered, NotRun, Reason, Unknown

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


# Guards against requests to a leaving target by an outdated owner table: the placer is
# lost, or can't reach the store.
def test_an_owner_that_has_been_leaving_for_long_gets_no_new_requests(
    route_with, make_request, owned_by
):
    router, sender = route_with([OK], owners=owned_by("p"))
    router.parts.targets.leaving_times = {"p": 1.2}
    outcome = asyncio.run(router.handle(make_request(key=5)))
    assert outcome.reason is Reason.SLICE_MOVING
    assert sender.sent == []


def test_an_owner_that_has_just_begun_to_leave_still_gets_requests(
    route_with, make_request, owned_by
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
    route_with, make_request, owned_by
):
    """Guards against retries for a hot key, which only add to its owner's queue."""
    router, sender = route_with([make_shed(12), OK], owners=owned_by("p"))
    outcome = asyncio.run(router.handle(make_request(key=5)))
    assert isinstance(outcome, NotRun)
    assert len(sender.sent) == 1


def test_requests_are_retried_at_an_owner_that_sheds_with_a_free_queue(
    route_with, make_request, owned_by
):
    """Guards against refusals by an owner with a grey failure: no other has the key."""
    router, sender = route_with([make_shed(0), OK], owners=owned_by("p"))
    outcome = asyncio.run(router.handle(make_request(key=5)))
    assert isinstance(outcome, Answered)
    assert sender.sent == ["p", "p"]


def test_a_request_waits_for_a_range_that_moves(route_with, make_request, owned_by):
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
    route_with, make_request, owned_by
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
    route_with, make_request, owned_by
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


def test_keys_are_counted_once_per_request(route_with, make_request, owned_by):
    router, _ = route_with([NOT_OWNER, make_shed(0), OK], owners=owned_by("p"))
    asyncio.run(router.handle(make_request(key=5)))
    assert router.pop_key_counts() == {"files": {5: 1}}
    assert router.pop_key_counts() == {}


def test_keys_long_without_an_owner_are_refused_at_once(
    route_with, make_request, owned_by
):
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
    route_with, make_request, owned_by
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


def test_retries_at_an_owner_without_its_lease_back_off(
    route_with, make_request, owned_by
):
    """Guards against frequent retries while the store is unavailable for long.

    Owners then lose their leases, and each request was retried every 50 ms until its
    deadline.
    """
    router, sender = route_with([NOT_OWNER], owners=owned_by("p"))
    outcome = asyncio.run(router.handle(make_request(key=5, remaining_s=0.8)))
    assert isinstance(outcome, NotRun)
    assert len(sender.sent) <= 5


def test_a_request_at_a_silent_target_is_given_up_only_for_another_attempt(
    route_with, make_request, make_target, owned_by
):
    """Pattern: a slow target that is at work, seen from a VM with few requests.

    Its run was cut during a stop (hfrc-grants-grown, scale-1: LOST).
    """
    router, _ = route_with([OK], owners=owned_by("p"))
    target, request = make_target("p"), make_request(key=5)
    # Its response may have been lost.
    assert router._may_give_up(request, target)
    undivided = make_request(max_targets=2)
    assert router._may_give_up(undivided, target)
    undivided.tried_targets.add("q")
    assert not router._may_give_up(undivided, target)
    router.stopping = True
    assert not router._may_give_up(request, target)


def test_no_request_is_given_up_without_a_retry_in_the_budget(
    route_with, make_request, make_target
):
    router, _ = route_with([OK], minimum=0.0)
    assert not router._may_give_up(make_request(), make_target("p"))


def move_key_during_first_attempt(sender, owners, next_owners) -> None:
    """Make the key move from owner to owner while the first attempt lasts."""
    send = sender.attempt

    async def attempt(*arguments):
        result = await send(*arguments)
        if len(sender.sent) == 1:
            for owner in next_owners:
                table = OwnerTable((0,), (owner,))
                owners.update(1, owners.sequence + 1, {"files": table})
        return result

    sender.attempt = attempt


# Guards against two runs of one attempt at a target under two leases, with another
# owner in between: the first response was lost while the key moved away and back.
def test_a_request_that_may_have_run_is_not_sent_to_its_target_under_a_later_lease(
    route_with, make_request, owned_by
):
    owners = owned_by("p")
    router, sender = route_with([LOST, OK], owners=owners)
    move_key_during_first_attempt(sender, owners, ["", "q", "", "p"])
    outcome = asyncio.run(router.handle(make_request(key=5)))
    assert sender.sent == ["p"]
    assert isinstance(outcome, Unknown)


def test_a_request_whose_response_was_lost_is_retried_at_an_owner_that_kept_its_key(
    route_with, make_request, owned_by
):
    router, sender = route_with([LOST, OK], owners=owned_by("p"))
    assert asyncio.run(router.handle(make_request(key=5))) == OK.outcome
    assert sender.sent == ["p", "p"]


def test_a_request_whose_response_was_lost_is_retried_at_the_next_owner(
    route_with, make_request, owned_by
):
    owners = owned_by("p")
    router, sender = route_with([LOST, OK], owners=owners)
    move_key_during_first_attempt(sender, owners, ["", "q"])
    assert asyncio.run(router.handle(make_request(key=5))) == OK.outcome
    assert sender.sent == ["p", "q"]


# Guards against a return to a target by an outdated table: its own refusal says that
# the lease under which it may have run the request has ended.
def test_a_request_does_not_return_to_a_target_that_may_have_run_and_then_refused_it(
    route_with, make_request, owned_by
):
    router, sender = route_with([LOST, NOT_OWNER, OK], owners=owned_by("p"))
    outcome = asyncio.run(router.handle(make_request(key=5)))
    assert sender.sent == ["p", "p"]
    assert isinstance(outcome, Unknown)
