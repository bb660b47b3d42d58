"""Test slots and queues: priority, ageing, fairness, early refusal."""

import asyncio
from time import monotonic

from peridot_resources.catalog import RoutingPolicy, Service
from peridot_routing.outcomes import NotRun, Reason
from peridot_routing.requests import RoutedRequest
from peridot_routing.slots import SlotQueue

POLICY = RoutingPolicy(
    "p", 2000, 1000, 5, (), 0.1, 200, 0.5, 1000, 1000, 60, 1.0, 1.0, 1.0
)
SERVICE = Service("s", "/s/", "Key", None, True, frozenset({"GET"}), (), "p")


def make_request(key_hash, priority=5, deadline_s=2.0):
    return RoutedRequest(
        request_id="r",
        service=SERVICE,
        policy=POLICY,
        method="GET",
        path="/s/",
        headers=(),
        body=b"",
        key=str(key_hash),
        key_hash=key_hash,
        idempotent=True,
        priority=priority,
        deadline=monotonic() + deadline_s,
    )


async def hold(queue, request, seconds, order, name):
    async with queue.slot(request) as refusal:
        order.append(refusal or name)
        if refusal is None:
            await asyncio.sleep(seconds)


def run_together(queue, *jobs):
    async def session():
        order = []
        tasks = []
        for request, seconds, name in jobs:
            tasks.append(
                asyncio.create_task(hold(queue, request, seconds, order, name))
            )
            await asyncio.sleep(0.002)
        await asyncio.gather(*tasks)
        return order

    return asyncio.run(session())


def test_urgent_request_overtakes_one_that_can_wait():
    order = run_together(
        SlotQueue(1, 10, 1.0),
        (make_request(1), 0.02, "first"),
        (make_request(2, priority=1), 0.0, "night pull"),
        (make_request(3, priority=8), 0.0, "lookup"),
    )
    assert order == ["first", "lookup", "night pull"]


def test_waiting_raises_the_rank_until_a_night_pull_arrives():
    async def session():
        queue = SlotQueue(1, 1000, 1.0)
        order = []
        blocker = asyncio.create_task(hold(queue, make_request(0), 0.01, order, "x"))
        await asyncio.sleep(0)
        pull = asyncio.create_task(
            hold(queue, make_request(1, 7, 30.0), 0.0, order, "pull")
        )

        async def look_up(key_hash):
            while not pull.done():
                await hold(queue, make_request(key_hash, 8), 0.01, order, "lookup")

        await asyncio.gather(look_up(2), look_up(3), look_up(4), blocker)
        return order

    order = asyncio.run(session())
    assert "pull" in order
    assert order.count("lookup") > 4


def test_hot_key_leaves_slots_to_others():
    hot = [(make_request(7), 0.03, "hot") for _ in range(6)]
    order = run_together(SlotQueue(3, 50, 0.34), *hot, (make_request(8), 0.0, "other"))
    assert order.index("other") <= 2


def test_request_that_would_miss_its_deadline_is_refused_at_once():
    queue = SlotQueue(1, 50, 1.0, service_time_s=0.5)
    began = monotonic()
    order = run_together(
        queue,
        (make_request(1), 0.05, "first"),
        (make_request(2, deadline_s=0.4), 0.0, "late"),
    )
    refusal = next(item for item in order if isinstance(item, NotRun))
    assert refusal.reason is Reason.OVERLOADED
    assert refusal.retry_after_ms >= 100
    assert monotonic() - began < 0.3


def test_full_queue_displaces_the_lowest_rank():
    order = run_together(
        SlotQueue(1, 1, 1.0),
        (make_request(1), 0.03, "first"),
        (make_request(2, priority=1), 0.0, "low"),
        (make_request(3, priority=8), 0.0, "high"),
    )
    assert order[0] == "first"
    assert isinstance(order[1], NotRun)
    assert order[2] == "high"


def test_cancelled_waiter_gives_its_slot_back():
    async def session():
        queue = SlotQueue(1, 10, 1.0)
        order = []
        first = asyncio.create_task(hold(queue, make_request(1), 0.01, order, "first"))
        await asyncio.sleep(0)
        second = asyncio.create_task(hold(queue, make_request(2), 0.0, order, "second"))
        await asyncio.sleep(0)
        second.cancel()
        await asyncio.gather(first, second, return_exceptions=True)
        assert (queue.busy, queue.waiters, queue.busy_by_key) == (0, [], {})

    asyncio.run(session())
