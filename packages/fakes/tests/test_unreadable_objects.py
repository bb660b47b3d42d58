"""One bad object costs that object only, in lists, watches and pushes.

Guards against a list that counts as lost for one object in it: after a restart no
gateway became ready while such an object was stored.
"""

import asyncio
from contextlib import asynccontextmanager
from inspect import isawaitable
from urllib.parse import parse_qs

import orjson
import pytest
from aiohttp import ClientSession, web
from hypothesis import given, settings, strategies as st

from peridot_daemon.replica import Replica
from peridot_fakes.fleet import free_ports
from peridot_fakes.site import FILES_ROUTE, make_configuration
from peridot_gateway.daemon import Gateway
from peridot_gateway.dialect import InvalidObject
from peridot_gateway.sources import ConfigurationSource
from peridot_gateway.targets import TargetSource
from peridot_objects.documents import load_document, parse_items, parse_name
from peridot_objects.http_objects import HttpObjectStore
from peridot_objects.outcomes import Conflict, Listing, StoredObject, WatchBatch
from peridot_objects.vms import parse_vms
from peridot_ownership.errors import InvalidRecord
from peridot_ownership.record import (
    DaemonInstance,
    PlacementRecord,
    parse_record,
    serialize_record,
)
from peridot_placement.decisions import MemoryDecisionLog
from peridot_platform.dialect import PlatformDialect
from peridot_platform.store import PlatformObjectStore

ENTRY = {
    "service": "files",
    "address": "127.0.0.1:1",
    "zone": "a",
    "version": "1",
    "slots": 3,
    "state": "ready",
    "warmupLeftS": 0,
    "seq": 1,
}
BAD_VALUES = {
    "bytes that aren't text": b'"\xff\xfe"',
    "half a surrogate pair": b'"\\ud800"',
    "a number beyond a double": b"1" * 400,
    "a number of many digits": b"1" * 5000,
    "an exponent": b"1e999",
    "nesting that can't be read": b"[" * 3000 + b"]" * 3000,
    "nesting that can't be written": b'{"a":' * 600 + b"1" + b"}" * 600,
    "not a number": b"NaN",
    "brackets that don't match": b'{"a":[}}',
    "a trailing comma": b"[1,]",
    "another type": b'{"a":[]}',
}
VALID_ENTRY = orjson.dumps(ENTRY)
# Values without an end of their own, or that seem to end the list around them.
UNENDED_VALUES = {
    "an entry that is cut short": b'{"service":"files","address":"127.0.0.1:1',
    "a string that doesn't end": b'"abc',
    "a string that ends with a backslash": b'"abc\\',
    "a bracket that doesn't end": b'{"a":[1',
    "many brackets that don't end": b'[0,{"a":' * 5000,
    "a bracket too many": VALID_ENTRY + b"}",
    "brackets that end the list": VALID_ENTRY + b"}],",
    "brackets that end the page": VALID_ENTRY + b'}],"hasMore":false,"at":9}',
    "no bytes": b"",
    "half of an object": b'{},"metadata":{"name":"b"',
}
# The field that a bad value replaces; "" is the whole object.
PLACES = ("", "metadata", "name", "revision", "spec", "version", "slots")


def compose_item(name: str, place: str | None = None, bad: bytes = b"") -> bytes:
    """Return the text of a stored target, with a bad value at a place."""
    if place == "":
        return bad
    fields = {key: orjson.dumps(value) for key, value in ENTRY.items()}
    metadata = {"name": orjson.dumps(name), "revision": b"7"}
    parts = {"metadata": compose(metadata), "spec": compose(fields)}
    for part in (fields, metadata):
        if place in part:
            part[place] = bad
            parts = {"metadata": compose(metadata), "spec": compose(fields)}
    if place in parts:
        parts[place] = bad
    return compose(parts)


def compose(fields: dict[str, bytes]) -> bytes:
    return (
        b"{" + b",".join(b'"%s":%s' % (k.encode(), v) for k, v in fields.items()) + b"}"
    )


@asynccontextmanager
async def serving(answer):
    """Serve bodies that a function returns for a query."""

    async def handle(request):
        body = answer(parse_qs(request.query_string))
        return web.Response(body=await body if isawaitable(body) else body)

    runner = web.ServerRunner(web.Server(handle), shutdown_timeout=0.1)
    await runner.setup()
    (port,) = free_ports(1)
    await web.TCPSite(runner, "127.0.0.1", port).start()
    try:
        yield f"127.0.0.1:{port}"
    finally:
        await runner.cleanup()


def call_store(body, call):
    async def run():
        async with serving(lambda query: body) as address:
            store = PlatformObjectStore(address)
            try:
                return await call(store)
            finally:
                await store.close()

    return asyncio.run(run())


def parse_names(objects):
    """Return the names of the objects that are valid targets."""
    names = []
    for item in objects:
        try:
            names.append(PlatformDialect().parse_target(item.name, item.value).name)
        except InvalidObject:
            continue
    return names


@pytest.mark.parametrize("place", PLACES)
@pytest.mark.parametrize("bad", BAD_VALUES.values(), ids=BAD_VALUES)
def test_one_bad_object_of_a_list_or_watch_costs_that_object_only(place, bad):
    items = [compose_item("a"), compose_item("b", place, bad), compose_item("c")]
    page = b'{"items":[%s],"hasMore":false,"at":40}' % b",".join(items)
    listing = call_store(page, lambda store: store.list(["servers"]))
    assert isinstance(listing, Listing)
    assert parse_names(listing.objects) == ["a", "c"]
    assert len(listing.objects) + len(listing.unreadable) == 3
    events = b",".join(b'{"deleted":false,"object":%s}' % item for item in items)
    batch = b'{"at":40,"events":[%s]}' % events
    found = call_store(batch, lambda store: store.watch(["servers"], 1, 0.1))
    assert isinstance(found, WatchBatch)
    assert parse_names(found.changes) == ["a", "c"]


@pytest.mark.parametrize("reverse", [False, True], ids=["", "value first"])
@pytest.mark.parametrize("count", [1, 2])
@pytest.mark.parametrize("position", [0, 1, 2])
@pytest.mark.parametrize("bad", UNENDED_VALUES.values(), ids=UNENDED_VALUES)
def test_an_object_without_an_end_costs_that_object_only(bad, position, count, reverse):
    """Guards against lists that can't be read while such an object is stored.

    No gateway became ready after a restart, and running ones followed no changes.
    """
    items = [compose_item("a"), compose_item("c")]
    for number in range(count):
        broken = compose_item(f"b{number}", "spec", bad)
        if reverse:
            broken = b'{"spec":%s,"metadata":{"name":"b%d","revision":7}}' % (
                bad,
                number,
            )
        items.insert(position, broken)
    if reverse:
        items = [reverse_members(item) for item in items]
    text = b",".join(items)
    for page in (
        b'{"items":[%s],"hasMore":false,"at":40}' % text,
        b'{"at":40,"hasMore":false,"items":[%s]}\n' % text,
    ):
        listing = call_store(page, lambda store: store.list(["servers"]))
        assert isinstance(listing, Listing), listing
        assert parse_names(listing.objects) == ["a", "c"]
        assert len(listing.objects) + len(listing.unreadable) > 2


@given(
    bad=st.one_of(
        st.integers(0, len(VALID_ENTRY)).map(lambda length: VALID_ENTRY[:length]),
        st.lists(st.sampled_from(list(b'{}[]",:1a\\ \xff'))).map(bytes),
    ),
    position=st.integers(0, 2),
)
@settings(max_examples=200, deadline=None, derandomize=True)
def test_no_bytes_of_an_object_cost_another(bad, position):
    items = [compose_item("a"), compose_item("c")]
    items.insert(position, compose_item("b", "spec", bad))
    page = load_document(b'{"items":[%s],"at":40}' % b",".join(items))
    names = [
        item["metadata"]["name"]
        for item in parse_items(page["items"], parse_whole_item).items
    ]
    assert names in (["a", "c"], ["a", "b", "c"], ["b", "a", "c"], ["a", "c", "b"])


def parse_whole_item(item):
    parse_name(item["metadata"]["name"])
    return item


def reverse_members(item):
    """Return an item's text with its value first, if it is valid."""
    try:
        return orjson.dumps(dict(reversed(orjson.loads(item).items())))
    except ValueError:
        return item


@pytest.mark.parametrize("bad", UNENDED_VALUES.values(), ids=UNENDED_VALUES)
def test_a_change_without_an_end_makes_a_source_list_again(bad):
    """Guards against the loss of changes beside it: targets that join or leave."""
    stored = {name: compose_item(name) for name in ("a", "c")}
    at = 40

    async def answer(query):
        nonlocal at
        if "watch" not in query:
            items = b",".join(stored.values())
            return b'{"items":[%s],"hasMore":false,"at":%d}' % (items, at)
        if at > 40:
            await asyncio.sleep(1)
            return b'{"at":%d,"events":[]}' % at
        at = 45
        del stored["c"]
        deleted = compose_item("c", "revision", b"41")
        stored["b"] = compose_item("b", "spec", bad).replace(b'n":7', b'n":42')
        stored["d"] = compose_item("d", "revision", b"43")
        events = [b'{"deleted":true,"object":%s}' % deleted]
        events += [b'{"deleted":false,"object":%s}' % stored[name] for name in "bd"]
        return b'{"at":45,"events":[%s]}' % b",".join(events)

    async def run():
        async with serving(answer) as address:
            store = PlatformObjectStore(address)
            source = TargetSource(store, PlatformDialect(), MemoryDecisionLog())
            task = asyncio.create_task(source.run())
            async with asyncio.timeout(5):
                while list(source.targets) != ["a", "d"]:
                    await asyncio.sleep(0.01)
            task.cancel()
            await store.close()
            assert source.reachable and source.invalid_objects >= 1

    asyncio.run(run())


def test_text_of_an_unreadable_object_stands_for_no_other_object():
    """Guards against an entry that is replaced by a copy in another writer's text."""
    copy = compose_item("c", "slots", b"9")
    items = [compose_item("b", "spec", b'"," ,%s,"' % copy), compose_item("c")]
    page = b'{"items":[%s],"hasMore":false,"at":40}' % b",".join(items)
    answers = [page, compose_item("c")]

    async def run():
        async with serving(lambda query: answers.pop(0)) as address:
            store = PlatformObjectStore(address)
            listing = await store.list(["servers"])
            await store.close()
        assert parse_names(listing.objects) == ["c"]
        found = PlatformDialect().parse_target("c", listing.objects[-1].value)
        assert found.slots == ENTRY["slots"]

    asyncio.run(run())


@pytest.mark.parametrize("bad", UNENDED_VALUES.values(), ids=UNENDED_VALUES)
def test_an_object_without_an_end_is_read_and_written_over(bad):
    body = compose_item("b", "spec", bad)
    found = call_store(body, lambda store: store.read("servers", "b"))
    assert found == StoredObject("servers", "b", 7, b"null")


@pytest.mark.parametrize("revision", [-1, True, 41, 2**40 + 1, 2**63, "7", 7.5])
def test_a_revision_beyond_that_of_the_store_costs_its_object_only(revision):
    """It would count as a change that no watch returns, or as a restore."""
    items = [compose_item("a"), compose_item("b", "revision", orjson.dumps(revision))]
    page = b'{"items":[%s],"hasMore":false,"at":40}' % b",".join(items)
    listing = call_store(page, lambda store: store.list(["servers"]))
    assert [item.name for item in listing.objects] == ["a"]


def test_a_page_that_ends_with_a_bad_name_is_followed_by_the_next():
    bad = compose_item("b", "name", b'"\xff"')
    pages = {
        None: b'{"items":[%s,%s],"hasMore":true,"at":40}' % (compose_item("a"), bad),
        "a": b'{"items":[%s,%s],"hasMore":false,"at":40}' % (bad, compose_item("c")),
    }

    async def run():
        async with serving(lambda query: pages[query.get("after", [None])[0]]) as to:
            store = PlatformObjectStore(to)
            listing = await store.list(["servers"])
            assert [item.name for item in listing.objects] == ["a", "c"]
            await store.close()

    asyncio.run(run())


def test_a_conflict_with_a_bad_object_tells_its_version():
    """Otherwise each write over it would have an unknown outcome."""
    body = compose_item("b", "spec", b'"\\ud800"')

    async def run():
        async def handle(request):
            return web.Response(status=409, body=body)

        runner = web.ServerRunner(web.Server(handle), shutdown_timeout=0.1)
        await runner.setup()
        (port,) = free_ports(1)
        await web.TCPSite(runner, "127.0.0.1", port).start()
        store = PlatformObjectStore(f"127.0.0.1:{port}")
        assert await store.write("servers", "b", b"{}", 3) == Conflict(7)
        await store.close()
        await runner.cleanup()

    asyncio.run(run())


@pytest.mark.parametrize("place", PLACES)
def test_a_source_logs_and_counts_the_bad_object_and_keeps_the_others(place):
    items = [compose_item("a"), compose_item("b", place, b'"\\ud800"')]
    page = b'{"items":[%s],"hasMore":false,"at":40}' % b",".join(items)
    log = MemoryDecisionLog()

    async def run():
        async with serving(lambda query: page) as address:
            store = PlatformObjectStore(address)
            source = TargetSource(store, PlatformDialect(), log)
            task = asyncio.create_task(source.run())
            async with asyncio.timeout(5):
                while not source.loaded:
                    await asyncio.sleep(0.01)
            task.cancel()
            await store.close()
            return source

    source = asyncio.run(run())
    assert source.loaded and list(source.targets) == ["a"]
    assert source.invalid_objects >= 1
    assert any("unreadable" in line or "target_invalid" in line for line in log.lines)
    # The entries that the placer pushes to its members.
    member = TargetSource(None, PlatformDialect(), MemoryDecisionLog())
    member.apply_pushed(source.entries.values(), True, 40)
    assert list(member.targets) == ["a"]


@pytest.mark.parametrize("bad", [None, True, [], {}, 10**18, 1e300, "\n", -0.5, "9"])
def test_a_configuration_with_any_wrong_field_is_refused_or_usable(bad):
    """Guards against a watch that fails for good on a value that it can't use."""
    valid = make_configuration(3, [FILES_ROUTE])
    changes = [valid | {name: bad} for name in valid]
    for table in ("routes", "services"):
        for index in range(len(valid[table]["rows"][0])):
            rows = [list(found) for found in valid[table]["rows"]]
            rows[0][index] = bad
            changes.append(valid | {table: valid[table] | {"rows": rows}})
        changes += [
            valid | {table: valid[table] | {name: bad}} for name in ("columns", "rows")
        ]
    changes += [valid | {"limits": valid["limits"] | {n: bad}} for n in valid["limits"]]
    for number, change in enumerate(changes, 2):
        source = ConfigurationSource(None, PlatformDialect(), MemoryDecisionLog())
        for version, value in ((1, valid), (number, change)):
            text = orjson.dumps(value)
            source.apply(StoredObject("config", "main", version, text))
        assert source.configuration.version >= 3
        assert source.index.find("x", "/") is None


def test_a_record_with_any_wrong_field_is_refused():
    record = PlacementRecord(5, DaemonInstance("vm", "i", "127.0.0.1:1"))
    valid = orjson.loads(serialize_record(record))
    valid["tables"] = {"files": [[0, "t", 1], [9, None, 2]]}
    assert parse_record(orjson.dumps(valid)).term == 5
    rows = [[[0.5, "t", 1]], [["0", "t", 1]], [[0, 5, 1]], [[0, "t", -1]], [[0, "t"]]]
    wrong = [
        {"tables": {"files": row}} for row in (*rows, [[0, "t", 1], [70_000, "t", 2]])
    ]
    for name in ("term", "beat", "lastFence"):
        wrong += [{name: value} for value in (None, "5", 1.5, True, -1, 2**63)]
    for name in ("vm", "instance", "address"):
        wrong += [{name: value} for value in (None, 5, [])]
    wrong += [{"tables": []}, {"tables": {"files": None}}, {"certainty": 9}]
    for change in wrong:
        with pytest.raises(InvalidRecord):
            parse_record(orjson.dumps(valid | change))


@pytest.mark.parametrize("bad", BAD_VALUES.values(), ids=BAD_VALUES)
def test_one_bad_object_costs_peridotd_that_object_only(bad):
    items = [
        b'{"kind":"Service","name":"%s","version":3,"value":%s}' % pair
        for pair in ((b"a", b"{}"), (b"b", bad), (b"c", b"{}"))
    ]
    items.append(bad)
    listing = b'{"revision":9,"objects":[%s]}' % b",".join(items)
    batch = b'{"revision":9,"changes":[%s]}' % b",".join(items)
    vm = b'{"name":"v","data_centre":"d","peer_address":"1:1","state":"live"}'
    vms = parse_vms(b'{"vms":[%s,%s]}' % (vm, bad))
    assert [item.name for item in vms.vms] == ["v"] and len(vms.unreadable) == 1

    async def run():
        async with (
            serving(lambda query: batch if "since" in query else listing) as address,
            ClientSession() as session,
        ):
            store = HttpObjectStore(session, f"http://{address}")
            found = await store.list(["Service"])
            assert [item.name for item in found.objects] == ["a", "b", "c"]
            assert len(found.unreadable) == 1
            found = await store.watch(["Service"], 1, 0.1)
            assert [item.name for item in found.changes] == ["a", "b", "c"]

    asyncio.run(run())


def test_a_bad_assignment_or_home_costs_peridotd_that_object_only():
    replica = Replica(MemoryDecisionLog())
    changes = [
        StoredObject(kind, name, 3, value)
        for kind in ("Home", "Assignment")
        for name, value in (("a", b"null"), ("b", b'{"starts":[1e99]}'))
    ]
    good = StoredObject("Home", "c", 4, b'{"starts":[0],"dataCentres":["d"]}')
    replica.apply_changes(5, (*changes, good))
    assert list(replica.homes) == ["c"] and replica.objects_refused == 4


def test_the_metrics_page_counts_bad_objects_by_kind():
    family = Gateway._count_invalid_objects

    class Counted:
        kind, invalid_objects, invalid_records = "servers", 2, 1

    class Parts:
        configuration = targets = fleet = Counted
        evacuations = None

    samples = {s.labels["kind"]: s.value for s in family(Parts).samples}
    assert samples == {"servers": 2, "placements": 1}
