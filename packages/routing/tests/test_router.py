"""Test routes, retries and waits for an owner, with fake topology and forwarder."""

import asyncio
import random
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass, field, replace
from time import monotonic

import pytest
from test_attempts import COMPLETE, TRUNCATED, RawTarget, listening
from test_slots import POLICY, SERVICE, make_request

from peridot_placement.assignments import Assignment
from peridot_placement.clock import boot_time
from peridot_placement.decisions import MemoryDecisionLog
from peridot_placement.permits import LocalTables
from peridot_placement.slices import HomeTable, SliceTable
from peridot_resources.catalog import Catalog, Target
from peridot_routing.budgets import RetryBudget
from peridot_routing.fronts import TargetDispatcher
from peridot_routing.outcomes import Answered, NotRun, Reason, Unknown
from peridot_routing.router import Forwarder, Router, Topology, Vm

ANSWER = Answered(200, (), b"ok", "t1")
TARGETS = {
    name: Target(name, "s", "127.0.0.1:1", "dc-a", 3, 8, True, False)
    for name in ("t1", "t2", "t3")
}


class FixedTopology(Topology):
    """A topology of one data centre, in which two other VMs are live."""

    data_centre = "dc-a"
    vm = "me"

    def home_table(self, service):
        return HomeTable((0,), ("dc-a",))

    def remote_assignment(self, service, data_centre):
        return None

    def live_vms(self, data_centre):
        return 1, [Vm("other", "addr-1"), Vm("third", "addr-2")]

    def lost_targets(self):
        return set()


@dataclass
class ScriptedForwarder(Forwarder):
    """Returns scripted outcomes, the last one for ever, and records calls."""

    script: list
    calls: list = field(default_factory=list)

    async def forward(self, address, request, target):
        self.calls.append((address, target))
        return self.script.pop(0) if len(self.script) > 1 else self.script[0]


@dataclass
class LocalForwarder(Forwarder):
    """Dispatches requests on this VM, as if it were the front of all targets."""

    router: Router

    async def forward(self, address, request, target):
        return await self.router.dispatch_locally(request, target)


def owned_by(target, sequence=1, next_owner=None):
    table = SliceTable()
    table.set_owner(0, target)
    if next_owner is not None:
        table.start_move(0, next_owner)
    return Assignment("s", "dc-a", 1, sequence, "w", table)


def apply_tables(tables, *assignments):
    for assignment in assignments:
        tables.apply(assignment.epoch, [assignment])


def move_away_and_back(tables):
    apply_tables(
        tables,
        owned_by("t1", 2, "t2"),
        owned_by("t2", 3),
        owned_by("t2", 4, "t1"),
        owned_by("t1", 5),
    )


@asynccontextmanager
async def router_with(script, divided=True):
    tables = LocalTables()
    tables.apply((1, 1), [owned_by("t1")])
    service = replace(SERVICE, divided_by_key=divided)
    catalog = Catalog(1, {"s": service}, TARGETS, {"p": POLICY})
    forwarder = ScriptedForwarder(script)
    async with TargetDispatcher(tables, lambda: catalog).run() as dispatcher:
        yield Router(
            FixedTopology(),
            tables,
            dispatcher,
            forwarder,
            lambda: catalog,
            MemoryDecisionLog(),
            random.Random(1),
        )


def handle(script, idempotent=True, divided=True, deadline_s=2.0):
    async def session():
        async with router_with(script, divided) as router:
            service = router.catalog().services["s"]
            request = replace(
                make_request(1, deadline_s=deadline_s),
                service=service,
                idempotent=idempotent,
            )
            outcome = await router.handle(request)
            return outcome, router

    return asyncio.run(session())


# Guards against a non-idempotent request that runs twice: after a lost link the target
# may have run it although no response arrived.
def test_non_idempotent_request_of_unknown_outcome_is_never_sent_again():
    outcome, router = handle([Unknown(Reason.FRONT_LOST), ANSWER], idempotent=False)
    assert outcome == Unknown(Reason.FRONT_LOST)
    assert len(router.forwarder.calls) == 1


def test_non_idempotent_request_that_did_not_run_goes_to_the_next_front():
    outcome, router = handle([NotRun(Reason.FRONT_LOST), ANSWER], idempotent=False)
    assert outcome == ANSWER
    first, second = router.forwarder.calls
    assert first[0] != second[0]


def test_idempotent_request_of_unknown_outcome_is_retried_within_the_budget():
    outcome, router = handle([Unknown(Reason.TORN_ANSWER)])
    assert outcome == Unknown(Reason.TORN_ANSWER)
    assert 1 < len(router.forwarder.calls) <= 4


# Guards against callers that are told "not run" of a request that may have run: only
# its last attempt was refused.
def test_refused_retry_leaves_the_outcome_of_a_request_that_may_have_run_unknown():
    outcome, router = handle([Unknown(Reason.TORN_ANSWER), NotRun(Reason.OVERLOADED)])
    assert len(router.forwarder.calls) == 2
    assert outcome == Unknown(Reason.TORN_ANSWER)


def test_service_not_divided_by_key_avoids_the_target_that_refused():
    outcome, router = handle([NotRun(Reason.CONNECTION_REFUSED), ANSWER], divided=False)
    assert outcome == ANSWER
    first, second = router.forwarder.calls
    assert first[1] != second[1]


def test_request_to_an_overloaded_owner_is_not_retried():
    started_at = monotonic()
    outcome, router = handle([NotRun(Reason.OVERLOADED, 700)])
    assert outcome == NotRun(Reason.OVERLOADED, 700)
    assert monotonic() - started_at < 0.5
    assert len(router.forwarder.calls) == 1


def test_request_waits_while_its_slice_moves_and_goes_to_the_new_owner():
    async def session():
        async with router_with([ANSWER]) as router:
            moving = owned_by("t1")
            moving.table.start_move(0, "t2")
            router.tables.apply((1, 2), [moving])
            task = asyncio.create_task(router.handle(make_request(1)))
            await asyncio.sleep(0.1)
            assert not task.done()
            router.tables.apply((1, 3), [owned_by("t2")])
            await task
            return router.forwarder.calls

    assert [target for _, target in asyncio.run(session())] == ["t2"]


# Guards against requests that pile up for their whole deadline while a move hangs.
def test_wait_for_an_owner_is_bounded_even_with_a_long_deadline():
    async def session():
        async with router_with([ANSWER]) as router:
            moving = owned_by("t1")
            moving.table.start_move(0, "t2")
            router.tables.apply((1, 2), [moving])
            started_at = monotonic()
            outcome = await router.handle(make_request(1, deadline_s=30.0))
            return outcome, monotonic() - started_at

    outcome, elapsed_s = asyncio.run(session())
    assert outcome.reason is Reason.SLICE_MOVING
    assert outcome.retry_after_ms > 0
    assert elapsed_s < 2.0


def test_request_without_a_valid_permit_is_not_sent():
    async def session():
        async with router_with([ANSWER]) as router:
            return await router.dispatch_locally(make_request(1), "t1")

    assert asyncio.run(session()).reason is Reason.NO_PERMIT


def test_lost_target_is_sent_nothing():
    async def session():
        async with router_with([ANSWER]) as router:
            router.tables.permit.extend(1, boot_time(), 5.0)
            router.dispatcher.set_lost("t1", True)
            while_lost = await router.dispatch_locally(make_request(1), "t1")
            router.dispatcher.set_lost("t1", False)
            afterwards = await router.dispatch_locally(make_request(1), "t1")
            return while_lost.reason, afterwards.reason

    assert asyncio.run(session()) == (Reason.TARGET_LOST, Reason.CONNECTION_REFUSED)


def test_channel_follows_changes_of_target_and_policy():
    async def session():
        async with router_with([ANSWER]) as router:
            dispatcher = router.dispatcher
            first = await dispatcher._get_channel("t1", POLICY)
            longer = replace(POLICY, queue_length=7)
            assert await dispatcher._get_channel("t1", longer) is first
            assert first.queue.queue_length == 7
            more = {**TARGETS, "t1": replace(TARGETS["t1"], connections=40, slots=9)}
            catalog = replace(dispatcher.catalog(), targets=more)
            dispatcher.catalog = lambda: catalog
            second = await dispatcher._get_channel("t1", longer)
            assert (second is first, second.queue.slots) == (False, 9)
            catalog = replace(catalog, targets={})
            assert await dispatcher._get_channel("t1", longer) is None
            assert len(dispatcher.closing_tasks) == 2

    asyncio.run(session())


def handle_at_failing_target(hook):
    """Handle a request at t1, which breaks off its first response.

    The hook is called with the VM's tables before that. Returns the outcome and how
    often t1 and t2 received the request.
    """

    async def session():
        async with router_with([ANSWER]) as router:
            router.forwarder = LocalForwarder(router)
            router.tables.permit.extend(1, boot_time(), 5.0)

            def on_request():
                if failing.connections == 1:
                    hook(router.tables)
                else:
                    failing.response, failing.close = COMPLETE, False

            failing = RawTarget(TRUNCATED, close=True, on_request=on_request)
            other = RawTarget(COMPLETE)
            async with listening(failing) as first, listening(other) as second:
                targets = {
                    "t1": replace(TARGETS["t1"], address=first),
                    "t2": replace(TARGETS["t2"], address=second),
                }
                catalog = replace(router.catalog(), targets=targets)
                router.dispatcher.catalog = lambda: catalog
                outcome = await router.handle(make_request(1))
            runs = [raw.received.count(b"Request-Id: r") for raw in (failing, other)]
            return outcome, *runs

    return asyncio.run(session())


# Guards against two runs of a request at a target, in two periods of its ownership with
# another owner between them: the target's work then seems to span that owner's.
def test_request_that_may_have_run_is_not_repeated_after_its_key_left_and_returned():
    outcome, runs, other_runs = handle_at_failing_target(move_away_and_back)
    assert (runs, other_runs) == (1, 0)
    assert isinstance(outcome, Unknown)
    assert outcome.reason is Reason.TORN_ANSWER


# The same if this VM had no permit meanwhile, so that the key may have moved unseen.
def test_request_is_not_repeated_by_tables_that_follow_an_expired_permit():
    def hook(tables):
        tables.permit.valid_until = boot_time() - 1.0
        apply_tables(tables, owned_by("t1", 5))
        tables.permit.extend(1, boot_time(), 5.0)

    outcome, runs, _ = handle_at_failing_target(hook)
    assert runs == 1
    assert isinstance(outcome, Unknown)


# Guards against a check so strict that retries end with any change of the tables.
@pytest.mark.parametrize(
    "assignments",
    [
        [],
        [owned_by("t1", 2)],
        [owned_by("t1", 2, "t2"), owned_by("t1", 3)],
    ],
)
def test_request_is_repeated_at_an_owner_that_kept_its_key(assignments):
    outcome, runs, _ = handle_at_failing_target(
        lambda tables: apply_tables(tables, *assignments)
    )
    assert isinstance(outcome, Answered)
    assert runs == 2


def test_request_is_repeated_at_the_next_owner_of_its_key():
    outcome, runs, other_runs = handle_at_failing_target(
        lambda tables: apply_tables(tables, owned_by("t1", 2, "t2"), owned_by("t2", 3))
    )
    assert isinstance(outcome, Answered)
    assert (runs, other_runs) == (1, 1)


# Guards against a copy of a request that waits for a slot while another front repeats
# the request: the copy is sent in a later period of ownership.
def test_request_that_waited_while_its_key_left_and_returned_is_not_sent():
    async def session():
        async with router_with([ANSWER]) as router:
            router.tables.permit.extend(1, boot_time(), 5.0)
            channel = await router.dispatcher._get_channel("t1", POLICY)
            async with AsyncExitStack() as stack:
                for key in range(TARGETS["t1"].slots):
                    await stack.enter_async_context(
                        channel.queue.slot(make_request(100 + key))
                    )
                task = asyncio.create_task(
                    router.dispatch_locally(make_request(1), "t1")
                )
                await asyncio.sleep(0.05)
                assert len(channel.queue.waiters) == 1
                move_away_and_back(router.tables)
            return await task

    assert asyncio.run(session()).reason is Reason.NOT_OWNER


def test_retry_budget_is_a_share_of_recent_requests():
    budget = RetryBudget(0.1, decayed_at=monotonic())
    for _ in range(100):
        budget.record_request()
    assert sum(budget.try_spend() for _ in range(50)) in (9, 10)
