"""Test slots and queues of targets: priority, ageing, fairness, early refusal."""

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


async def occupy_slot(queue, request, seconds, order, name):
    """Hold a slot for a time; append the name or refusal to the order."""
    async with queue.slot(request) as refusal:
        order.append(refusal or name)
        if refusal is None:
            await asyncio.sleep(seconds)


def run_together(queue, *jobs):
    """Start jobs 2 ms apart; return their names and refusals in order of admission."""

    async def session():
        order = []
        tasks = []
        for request, seconds, name in jobs:
            tasks.append(
                asyncio.create_task(occupy_slot(queue, request, seconds, order, name))
            )
            await asyncio.sleep(0.002)
        await asyncio.gather(*tasks)
        return order

    return asyncio.run(session())


def test_request_of_higher_priority_overtakes_a_waiting_one():
    order = run_together(
        SlotQueue(1, 10, 1.0),
        (make_request(1), 0.02, "first"),
        (make_request(2, priority=1), 0.0, "batch"),
        (make_request(3, priority=8), 0.0, "urgent"),
    )
    assert order == ["first", "urgent", "batch"]


def test_ageing_keeps_a_low_priority_request_from_starving():
    async def session():
        queue = SlotQueue(1, 1000, 1.0)
        order = []
        blocker = asyncio.create_task(
            occupy_slot(queue, make_request(0), 0.01, order, "x")
        )
        await asyncio.sleep(0)
        batch = asyncio.create_task(
            occupy_slot(queue, make_request(1, 7, 30.0), 0.0, order, "batch")
        )

        async def send_urgent(key_hash):
            while not batch.done():
                await occupy_slot(
                    queue, make_request(key_hash, 8), 0.01, order, "urgent"
                )

        await asyncio.gather(send_urgent(2), send_urgent(3), send_urgent(4), blocker)
        return order

    order = asyncio.run(session())
    assert "batch" in order
    assert order.count("urgent") > 4


def test_hot_key_leaves_slots_to_other_keys():
    hot = [(make_request(7), 0.03, "hot") for _ in range(6)]
    order = run_together(SlotQueue(3, 50, 0.34), *hot, (make_request(8), 0.0, "other"))
    assert order.index("other") <= 2


def test_request_that_would_miss_its_deadline_is_refused_at_once():
    queue = SlotQueue(1, 50, 1.0, service_time_s=0.5)
    started_at = monotonic()
    order = run_together(
        queue,
        (make_request(1), 0.05, "first"),
        (make_request(2, deadline_s=0.4), 0.0, "late"),
    )
    refusal = next(item for item in order if isinstance(item, NotRun))
    assert refusal.reason is Reason.OVERLOADED
    assert refusal.retry_after_ms >= 100
    assert monotonic() - started_at < 0.3


def test_full_queue_evicts_the_waiter_of_lowest_priority():
    order = run_together(
        SlotQueue(1, 1, 1.0),
        (make_request(1), 0.03, "first"),
        (make_request(2, priority=1), 0.0, "low"),
        (make_request(3, priority=8), 0.0, "high"),
    )
    assert order[0] == "first"
    assert isinstance(order[1], NotRun)
    assert order[2] == "high"


# Guards against a slot that is never freed because its waiter was cancelled.
def test_cancelled_waiter_releases_its_slot():
    async def session():
        queue = SlotQueue(1, 10, 1.0)
        order = []
        first = asyncio.create_task(
            occupy_slot(queue, make_request(1), 0.01, order, "first")
        )
        await asyncio.sleep(0)
        second = asyncio.create_task(
            occupy_slot(queue, make_request(2), 0.0, order, "second")
        )
        await asyncio.sleep(0)
        second.cancel()
        await asyncio.gather(first, second, return_exceptions=True)
        assert (queue.busy, queue.waiters, queue.busy_by_key) == (0, [], {})

    asyncio.run(session())


async def fill_queue(queue, requests):
    """Start requests that hold their slots; return them after a moment, with order."""
    order = []
    tasks = [
        asyncio.create_task(occupy_slot(queue, request, 30.0, order, request.key))
        for request in requests
    ]
    await asyncio.sleep(0.01)
    return tasks, order


# Guards against free slots beside waiting requests: only the end of a running one woke
# them.
def test_more_slots_wake_waiting_requests_at_once():
    async def session():
        queue = SlotQueue(1, 50, 1.0)
        tasks, order = await fill_queue(queue, [make_request(n) for n in range(1, 6)])
        assert order == ["1"]
        queue.resize(4, 50, 1.0)
        await asyncio.sleep(0.01)
        for task in tasks:
            task.cancel()
        return order

    assert asyncio.run(session()) == ["1", "2", "3", "4"]


def test_larger_share_of_a_key_wakes_its_waiting_requests_at_once():
    async def session():
        queue = SlotQueue(4, 50, 0.25)
        hot = [make_request(7) for _ in range(4)]
        tasks, order = await fill_queue(queue, hot)
        started = len(order)
        queue.resize(4, 50, 1.0)
        await asyncio.sleep(0.01)
        for task in tasks:
            task.cancel()
        return started, len(order)

    started, after = asyncio.run(session())
    assert started == 3
    assert after == 4
