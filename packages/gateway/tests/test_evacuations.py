"""Evacuated zones: watched, pushed, kept in outages, and what the gateway does then."""

import asyncio
import random
from types import SimpleNamespace

import pytest

from peridot_gateway import evacuations as evacuations_module
from peridot_gateway.estimates import Estimates
from peridot_gateway.evacuations import Evacuations
from peridot_gateway.picker import Picker
from peridot_gateway.sender import AttemptResult
from peridot_objects.objects import MemoryObjectStore
from peridot_objects.outcomes import DeletedObject, StoredObject
from peridot_objects.versions import compose_version
from peridot_placement.decisions import MemoryDecisionLog
from peridot_routing.outcomes import Answered, NotRun, Reason

KIND = "evacuations"
EVACUATE_S = 5.0
DIALECT = SimpleNamespace(evacuation_kind=KIND)


class Clock:
    now = 100.0

    def __call__(self) -> float:
        return self.now


def make(store=None, clock=None) -> Evacuations:
    found = Evacuations(
        store or MemoryObjectStore(), DIALECT, MemoryDecisionLog(), EVACUATE_S
    )
    if clock is not None:
        found.clock = clock
    found.ended = []
    found.handle_end = found.ended.append
    return found


def entry(zone: str, version: int, value: bytes = b"{}") -> StoredObject:
    return StoredObject(KIND, zone, version, value)


def test_a_vm_without_a_placer_learns_of_evacuations_from_the_store():
    """Guards against zones that are missed as their object can't be read as JSON."""

    async def scenario():
        store = MemoryObjectStore()
        found = make(store)
        task = asyncio.create_task(found.run())
        await asyncio.sleep(0.02)
        await store.write(KIND, "z1", b"\xff\x00[", None)
        await asyncio.sleep(0.05)
        assert found.zones == ["z1"] and found.confirmed_revision
        await store.delete(KIND, "z1", None)
        await asyncio.sleep(0.05)
        task.cancel()
        assert found.zones == [] and found.ended == ["z1"]

    asyncio.run(scenario())


def test_a_vm_keeps_what_it_knew_while_no_one_confirms_the_list():
    """Guards against requests to an evacuated zone in an outage of the store."""

    async def scenario():
        store = MemoryObjectStore()
        found = make(store)
        await store.write(KIND, "z1", b"{}", None)
        task = asyncio.create_task(found.run())
        await asyncio.sleep(0.02)
        await store.set_outage(True)
        await store.delete(KIND, "z1", None)
        await asyncio.sleep(0.4)
        found.apply_pushed(False, [], 0)
        found.apply_pushed(True, [], 0)
        task.cancel()
        assert found.zones == ["z1"] and not found.confirmed_revision

    asyncio.run(scenario())


def test_the_list_of_a_placer_applies_if_it_is_not_older():
    """Guards against a placer that is behind what the VM itself saw in the store."""
    clock = Clock()
    found = make(clock=clock)
    found.apply_pushed(True, ["z1"], 10)
    assert found.zones == ["z1"] and found.receives_pushes()
    found.apply(entry("z2", 12))
    found.revision = 12
    found.apply_pushed(True, ["z1"], 11)
    assert sorted(found.zones) == ["z1", "z2"]
    found.apply_pushed(True, ["z2"], 13)
    assert found.zones == ["z2"] and found.ended == ["z1"]
    clock.now += evacuations_module.PUSH_TIMEOUT_S
    assert not found.receives_pushes()
    # A new placer confirms the list only after a response of the store.
    found.reachable = True
    found.end_push()
    assert not found.confirmed_revision


def test_an_evacuation_that_a_restore_lost_holds_for_a_time():
    """Guards against a copy of the store that is older than the evacuation."""
    clock = Clock()
    found = make(clock=clock)
    found.replace_all((entry("z1", 5),), 5)
    found.loaded = True
    found.replace_all((), compose_version(1, 3))
    found.apply(DeletedObject(KIND, "z1", compose_version(1, 4)))
    clock.now += evacuations_module.RESTORE_GRACE_S - 0.1
    assert found.zones == ["z1"] and not found.needs_list()
    clock.now += 0.2
    assert found.needs_list()
    found.replace_all((), compose_version(1, 5))
    assert found.zones == [] and not found.needs_list()


def test_owners_get_requests_until_shortly_before_the_time_is_up(make_target):
    """Guards against the full time for a VM that learnt of the evacuation late."""
    clock = Clock()
    found, target = make(clock=clock), make_target("p", "z1")
    found.apply_pushed(True, [], 1)
    clock.now += 0.25
    found.apply_pushed(True, ["z1"], 2)
    usable_s = -found.overdue_s(target)
    assert 2.0 < usable_s < EVACUATE_S - evacuations_module.NOTICE_DELAY_S - 0.25
    late = make(clock=clock)
    late.apply_pushed(True, ["z1"], 2)
    assert late.overdue_s(target) > 0
    assert found.overdue_s(make_target("q", "z2")) < 0


def test_targets_of_an_evacuated_zone_are_no_candidates(make_target):
    """Guards against requests to services not divided by key in that zone."""
    found = make(clock=Clock())
    found.apply_pushed(True, ["z1"], 1)
    picker = Picker("z1", Estimates(), random.Random(1), evacuations=found)
    near, far = make_target("p", "z1"), make_target("q", "z2")
    assert {picker.pick([near, far], set()) for _ in range(20)} == {far}
    assert picker.pick([near], set()) is None


@pytest.mark.parametrize("evacuated", [True, False])
def test_requests_for_keys_that_have_not_moved_in_time_are_refused(
    evacuated, route_with, owned_by, make_request
):
    """Guards against requests to an owner in a zone that must get none any more."""
    router, sender = route_with(
        [AttemptResult(Answered(200, (), b"", "p"))], owners=owned_by("p")
    )
    router.parts.evacuations = make()
    if evacuated:
        # Not known since when: the time may be up.
        router.parts.evacuations.apply_pushed(True, ["a"], 1)
    outcome = asyncio.run(router.handle(make_request(key=7, remaining_s=0.1)))
    if evacuated:
        assert isinstance(outcome, NotRun) and outcome.reason is Reason.SLICE_MOVING
        assert outcome.retry_after_ms and sender.sent == []
    else:
        assert isinstance(outcome, Answered)


@pytest.mark.parametrize("key", [7, None])
def test_requests_beyond_the_allowance_of_a_cold_target_are_refused(
    key, route_with, owned_by, make_request
):
    """Guards against requests to cold targets beyond what they bear."""
    router, sender = route_with(
        [AttemptResult(Answered(200, (), b"", "p"))], owners=owned_by("p")
    )
    allowed = iter([True, False, False, False, False, False, False])
    cold = SimpleNamespace(
        refused=0,
        take=lambda target, draw: next(allowed, False),
        may_send=lambda target, draw: target.name == "p",
        record_outcome=lambda target, outcome: None,
        request_report=lambda: None,
        changed=SimpleNamespace(wait=asyncio.sleep),
    )
    router.parts.cold = router.parts.picker.cold = cold
    outcomes = [
        asyncio.run(router.handle(make_request(key=key, remaining_s=0.1)))
        for _ in range(2)
    ]
    assert isinstance(outcomes[0], Answered) and sender.sent == ["p"]
    assert isinstance(outcomes[1], NotRun) and outcomes[1].retry_after_ms
    assert cold.refused == (key is not None)


@pytest.mark.parametrize("key", [None, 5])
def test_the_allowance_of_a_request_that_is_refused_is_given_back(
    key, route_with, make_request, owned_by
):
    """Guards against permits of cold targets that full targets' requests use up."""
    owners = owned_by("p") if key is not None else None
    router, sender = route_with([None], owners=owners)
    taken, given_back = [], []
    cold = SimpleNamespace(
        may_send=lambda target, draw: True,
        take=lambda target, draw: taken.append(target.name) or True,
        give_back=lambda target: given_back.append(target.name),
    )
    router.parts.cold = router.parts.picker.cold = cold
    for name in router.parts.targets.targets:
        router.parts.estimates.get(name).concurrency_limit = 0
    outcome = asyncio.run(router.handle(make_request(key=key)))
    assert isinstance(outcome, NotRun) and outcome.detail == "full"
    assert sender.sent == [] and len(taken) == 1 and given_back == taken
