"""Tests of the platform adapter: formats, headers, the store and grants."""

import asyncio
import socket
from contextlib import suppress

import orjson
import pytest

from peridot_fakes.fleet import free_ports
from peridot_fakes.objectapi import ObjectApi
from peridot_fakes.site import FILES_ROUTE, ORDERS_ROUTE, make_configuration
from peridot_gateway.dialect import InvalidObject
from peridot_gateway.sockets import RESET_ON_CLOSE
from peridot_objects.outcomes import (
    Conflict,
    Listing,
    Missing,
    RevisionTooOld,
    StoredObject,
    StoreUnavailable,
    WatchBatch,
    WriteUnknown,
    Written,
)
from peridot_ownership.holds import Grant, Granted, Outranked, Released, Unanswered
from peridot_ownership.ranges import ALL_KEYS, KeyRange
from peridot_platform import store as store_module
from peridot_platform.configuration import parse_configuration
from peridot_platform.dialect import PlatformDialect
from peridot_platform.errors import InvalidSettingsFile
from peridot_platform.holds import PlatformLeaseClient
from peridot_platform.settings import load_settings
from peridot_platform.store import PlatformObjectStore
from peridot_platform.targets import parse_target
from peridot_resources.configuration import TargetInstance


def run_with_store(scenario) -> None:
    async def run():
        port = free_ports(1)[0]
        api = ObjectApi()
        store = PlatformObjectStore(f"127.0.0.1:{port}")
        async with api.serve(port):
            await scenario(api, store)
            await store.close()

    asyncio.run(run())


def test_priorities_and_attempts_of_routes_are_translated():
    """On the wire 0 is the highest priority; inside, larger numbers have priority."""
    data = make_configuration(3, [FILES_ROUTE, ORDERS_ROUTE])
    found = parse_configuration(orjson.dumps(data))
    files, orders = found.routes
    assert orders.priority > files.priority
    assert files.idempotent and not orders.idempotent
    assert files.max_targets == 2
    assert found.services["files"].divided_by_key
    assert not found.services["orders"].divided_by_key


def test_traffic_splits_have_weights():
    row = list(FILES_ROUTE)
    row[7] = [{"service": "files", "weight": 90}, {"service": "orders", "weight": 10}]
    row[9] = None
    found = parse_configuration(orjson.dumps(make_configuration(3, [row])))
    assert [(s.service, s.weight) for s in found.routes[0].traffic_split] == [
        ("files", 90.0),
        ("orders", 10.0),
    ]


def test_whole_numbers_of_configurations_may_be_written_with_a_point():
    """Guards against a configuration that is refused whole for 2.0 instead of 2."""
    row = list(FILES_ROUTE)
    row[8] = 2.0
    found = parse_configuration(orjson.dumps(make_configuration(3, [row])))
    assert found.routes[0].max_targets == 2
    row[8] = 2.5
    with pytest.raises(InvalidObject):
        parse_configuration(orjson.dumps(make_configuration(3, [row])))


def test_downloads_may_run_more_than_once():
    row = list(FILES_ROUTE)
    row[3] = "download"
    found = parse_configuration(orjson.dumps(make_configuration(3, [row])))
    assert found.routes[0].idempotent


@pytest.mark.parametrize("timeout_s", [None, 0])
def test_downloads_may_have_no_timeout(timeout_s):
    """Guards against a configuration that is refused whole for such a route."""
    row = list(FILES_ROUTE)
    row[3:6] = ["download", timeout_s, None]
    found = parse_configuration(orjson.dumps(make_configuration(3, [row])))
    assert found.routes[0].timeout_s > 30 > found.routes[0].latency_objective_s > 0


@pytest.mark.parametrize(
    "change",
    [
        {"slots": "3"},
        {"slots": 0},
        {"slots": True},
        {"state": "asleep"},
        {"service": None},
        {"address": "nowhere"},
        {"address": "127.0.0.1:99999"},
        {"warmupLeftS": {}},
    ],
)
def test_target_entries_with_invalid_values_are_refused(change):
    data = {
        "service": "files",
        "address": "127.0.0.1:1",
        "zone": "a",
        "version": "v1",
        "slots": 3,
        "state": "ready",
        "warmupLeftS": 0,
        "seq": 1,
        "born": 5,
    }
    assert parse_target("t", orjson.dumps(data)).started_ms == 5
    with pytest.raises(InvalidObject):
        parse_target("t", orjson.dumps(data | change))


def test_malformed_objects_are_refused():
    for text in (b"", b"{", b"[]", b"null", b"\xff\xfe"):
        with pytest.raises(InvalidObject):
            parse_target("t", text)
        with pytest.raises(InvalidObject):
            parse_configuration(text)


def test_headers_of_responses_are_parsed(make_gateway_request):
    parse = PlatformDialect().parse_response_headers
    request = make_gateway_request("id-1")
    valid = {"X-Attempt-Id": "id-1", "X-Upstream-Signature": "s"}
    parsed = parse(200, valid | {"X-Upstream-Load": "3,0,8"}, request)
    assert parsed.signed and not parsed.for_other_request and not parsed.not_run
    assert (parsed.load.running, parsed.load.waiting, parsed.load.slots) == (3, 0, 8)
    assert parse(200, valid | {"X-Attempt-Id": "id-2"}, request).for_other_request
    assert parse(503, {"X-Not-Executed": "1"}, request).not_run
    assert parse(421, {}, request).misdirected
    assert parse(421, {"X-Instance-Id": "i-2"}, request).answered_by == "i-2"
    slow = parse(200, valid | {"X-Upstream-Load": "3,0,8,310"}, request).load
    assert (slow.running, slow.waiting, slow.slots, slow.slowdown) == (3, 0, 8, 3.1)
    assert parse(200, valid | {"X-Upstream-Load": "3,0,8,1,1"}, request).load is None
    assert parse(200, valid | {"X-Upstream-Load": "3,x"}, request).load is None
    assert parse(200, valid | {"Server-Leaving": "1"}, request).leaving
    assert not parse(200, valid | {"Server-Leaving": "0"}, request).leaving


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("1.5", 1.5),
        ("0", 0.0),
        ("99999999", 99_999_999.0),
        ("-1", None),
        ("nan", None),
        ("inf", None),
        ("1_0", None),
        ("\u0661", None),
        ("1e300", None),
        ("000", 0.0),
        # The shortest text of some binary numbers, as servers write them.
        ("0.30000000000000004", 0.30000000000000004),
        ("soon", None),
        ("Fri, 04 Dec 2026 15:00:00 GMT", None),
        ("", None),
    ],
)
def test_only_a_503_with_a_valid_retry_after_asks_for_a_pause(
    text, expected, make_gateway_request
):
    parse = PlatformDialect().parse_response_headers
    request = make_gateway_request("id-1")
    parsed = parse(503, {"Retry-After": text}, request)
    assert parsed.retry_after_s == expected
    assert parsed.pause_s == (expected or 0.0)
    assert bool(parsed.malformed) == (expected is None)
    assert parse(429, {"Retry-After": text}, request).pause_s == 0.0


@pytest.mark.parametrize("text", ["9" * 4_301, "-1", "x", "1.5", "", "\u0661"])
def test_malformed_numbers_in_headers_of_callers_count_as_missing(text):
    """int() raises an error for texts of more than 4,300 digits."""
    headers = {"X-Request-Deadline-Ms": text, "X-Shard-Key": text}
    parsed = PlatformDialect().parse_caller_headers(headers)
    assert parsed.deadline_s is None and parsed.key is None


@pytest.fixture
def make_gateway_request():
    from types import SimpleNamespace

    return lambda request_id: SimpleNamespace(request_id=request_id)


def test_a_list_of_several_pages_is_complete():
    async def scenario(api, store):
        for number in range(120):
            await api.put("servers", f"s{number:03}", {"n": number})
        found = await store.list(["servers"])
        assert isinstance(found, Listing)
        assert len(found.objects) == 120
        assert found.revision == 120

    run_with_store(scenario)


def test_writes_are_conditional():
    async def scenario(api, store):
        created = await store.write("k", "n", b'{"a":1}', 0)
        assert isinstance(created, Written)
        assert isinstance(await store.write("k", "n", b'{"a":2}', 0), Conflict)
        changed = await store.write("k", "n", b'{"a":2}', created.version)
        assert isinstance(changed, Written)
        stale = await store.write("k", "n", b'{"a":3}', created.version)
        assert stale == Conflict(changed.version)
        found = await store.read("k", "n")
        assert isinstance(found, StoredObject) and found.value == b'{"a":2}'
        assert await store.read("k", "other") == Missing()
        assert await store.write("k", "other", b"{}", 7) == Conflict(0)

    run_with_store(scenario)


def test_a_refused_write_is_unavailable_and_one_without_a_response_unknown(monkeypatch):
    monkeypatch.setattr(store_module, "CALL_TIMEOUT_S", 0.3)

    async def scenario(api, store):
        for status in (503, 429):
            api.error_status = status
            assert isinstance(await store.write("k", "n", b"{}", 0), StoreUnavailable)
        api.error_status = None
        api.lose_answers = 1
        assert isinstance(await store.write("k", "n", b"{}", 0), WriteUnknown)
        assert isinstance(await store.read("k", "n"), StoredObject)

    run_with_store(scenario)


def test_writes_to_an_unreachable_store_are_unavailable():
    async def run():
        store = PlatformObjectStore(f"127.0.0.1:{free_ports(1)[0]}")
        assert isinstance(await store.write("k", "n", b"{}", 0), StoreUnavailable)
        await store.close()

    asyncio.run(run())


def test_watches_return_changes_or_that_the_revision_is_too_old():
    async def scenario(api, store):
        await api.put("servers", "a", {"n": 1})
        since = api.revision
        await api.put("servers", "b", {"n": 2})
        await api.remove("servers", "a")
        batch = await store.watch(["servers"], since, 0.2)
        assert [change.name for change in batch.changes] == ["b", "a"]
        assert batch.revision == api.revision
        api.drop_history()
        assert isinstance(await store.watch(["servers"], 1, 0.2), RevisionTooOld)

    run_with_store(scenario)


def test_versions_rise_when_the_store_is_restored_from_a_copy():
    """Revisions are issued again; a version of an earlier era never passes a check."""

    async def scenario(api, store):
        first = await store.write("k", "n", b'{"a":1}', 0)
        saved = api.take_copy()
        lost = await store.write("k", "n", b'{"a":2}', first.version)
        await api.restore(saved)
        found = await store.read("k", "n")
        assert found.value == b'{"a":1}' and found.version > lost.version
        again = await store.write("k", "n", b'{"a":3}', found.version)
        assert again.version > found.version
        late = await store.write("k", "n", b'{"a":4}', lost.version)
        assert isinstance(late, Conflict)
        assert isinstance(await store.watch(["k"], lost.version, 0.2), RevisionTooOld)
        listing = await store.list(["k"])
        assert listing.revision == again.version
        assert await store.read("k", "other") == Missing(era=1)

    run_with_store(scenario)


def test_a_watch_that_a_restore_ends_asks_for_a_new_list():
    """The revision may have been given out again, with other changes behind it."""

    async def scenario(api, store):
        await api.put("servers", "a", {"n": 1})
        saved = api.take_copy()
        await api.put("servers", "b", {"n": 2})
        watch = asyncio.create_task(store.watch(["servers"], 2, 2.0))
        await asyncio.sleep(0.1)
        await api.restore(saved)
        await api.put("servers", "c", {"n": 3})
        await api.put("servers", "d", {"n": 4})
        assert isinstance(await watch, RevisionTooOld)

    run_with_store(scenario)


def test_malformed_settings_files_are_refused(tmp_path):
    path = tmp_path / "node.json"
    no_ports = '{"bounds": [], "internalPortRange": [], "platform": {"address": ""}}'
    for text in ("", "{", "{}", "[]", no_ports):
        path.write_text(text)
        with pytest.raises(InvalidSettingsFile):
            load_settings(path, 1)


# Guards against unbounded memory and time for a response to a grant that never ends.
@pytest.mark.parametrize("start", [b"HTTP/1.1 200 OK\r\n\r\n", b"HTTP/1.1 200 "])
def test_an_endless_response_to_a_grant_is_cut_off(start):
    async def respond_endlessly(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(start)
        with suppress(ConnectionError):
            while True:
                writer.write(b"x" * 65_536)
                await writer.drain()
        writer.close()

    async def run():
        (port,) = free_ports(1)
        lease_client = PlatformLeaseClient()
        target = TargetInstance("t", "s", f"127.0.0.1:{port}", "a", 3, False, 0.0)
        async with await asyncio.start_server(respond_endlessly, "127.0.0.1", port):
            async with asyncio.timeout(3):
                outcome = await lease_client.grant(
                    target, Grant(ALL_KEYS, 1, 2.5), 10.0
                )
            await lease_client.close()
        assert isinstance(outcome, Unanswered)

    asyncio.run(run())


class LeaseTarget:
    """A target that answers grants and releases, by default without any id."""

    def __init__(self) -> None:
        self.connections = 0
        self.paths: list[str] = []
        self.ids: list[str] = []
        # Connection of each call, by its number.
        self.used: list[int] = []
        self.echoed: list[str | None] = []
        # Sent before the response to a call, as a late copy would come.
        self.copy = b""
        self.copy_path = "/-/release"
        self.accepts_connections = True
        # Status of the first response, and whether a copy of it comes late.
        self.first_status = 200

    async def serve(self, reader, writer) -> None:
        if not self.accepts_connections:
            # Closing resets the connection.
            writer.get_extra_info("socket").setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
            )
            writer.close()
            return
        self.connections += 1
        connection = self.connections
        first_response = b""
        with suppress(ConnectionError, asyncio.IncompleteReadError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                length = int(read_header(head, "Content-Length"))
                await reader.readexactly(length)
                self.paths.append(head.split()[1].decode())
                self.ids.append(read_header(head, "X-Attempt-Id"))
                self.used.append(connection)
                if self.copy and self.paths[-1] == self.copy_path:
                    if self.used.index(connection) < len(self.used) - 1:
                        writer.write(self.copy)
                    await asyncio.sleep(0.05)
                if self.first_status != 200 and self.used == [1, 1]:
                    writer.write(first_response)
                    await asyncio.sleep(0.05)
                response = self.build_response()
                if len(self.used) == 1:
                    first_response = response
                writer.write(response)
        writer.close()

    def build_response(self) -> bytes:
        """Return the response to the last call."""
        status = self.first_status if len(self.used) == 1 else 200
        lines = [b"HTTP/1.1 %d X" % status, b"Content-Length: 0"]
        if self.paths[-1] == "/-/release":
            lines.append(b"X-Handover: token")
        if self.echoed and (echoed := self.echoed.pop(0)) is not None:
            lines.append(b"X-Attempt-Id: " + (echoed or self.ids[-1]).encode())
        return b"\r\n".join((*lines, b"", b""))


def read_header(head: bytes, name: str) -> str:
    for line in head.decode().splitlines():
        found, _, value = line.partition(":")
        if found.lower() == name.lower():
            return value.strip()
    return ""


def run_with_lease_target(scenario) -> None:
    async def run():
        (port,) = free_ports(1)
        fake, lease_client = LeaseTarget(), PlatformLeaseClient()
        target = TargetInstance("t", "s", f"127.0.0.1:{port}", "a", 3, False, 0.0)
        async with (
            asyncio.timeout(5),
            await asyncio.start_server(fake.serve, "127.0.0.1", port),
        ):
            await scenario(fake, lease_client, target)
            await lease_client.close()

    asyncio.run(run())


# Guards against keys being granted elsewhere while their owner still works: the copy
# comes after the release was sent, so nothing but the connection tells it.
def test_a_copy_of_an_earlier_response_is_not_taken_for_that_to_a_release():
    async def scenario(fake, lease_client, target):
        fake.copy = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
        for fence in (1, 2):
            grant = Grant(ALL_KEYS, fence, 2.5)
            assert await lease_client.grant(target, grant, 1.0) == Granted()
            released = await lease_client.release(target, ALL_KEYS, fence, 1.0)
            assert released == Released("token")

    run_with_lease_target(scenario)


# Guards against calls on the connection of a release, and new ones for each renewal.
def test_releases_have_connections_of_their_own_and_renewals_share_one():
    async def scenario(fake, lease_client, target):
        for call in ("grant", "release", "grant", "release", "grant"):
            if call == "grant":
                await lease_client.grant(target, Grant(ALL_KEYS, 1, 2.5), 1.0)
            else:
                await lease_client.release(target, ALL_KEYS, 1, 1.0)
        first, second, third, fourth, fifth = fake.used
        assert first == third == fifth
        assert len({first, second, fourth}) == 3

    run_with_lease_target(scenario)


# Guards against the response to another call, where servers do send the id.
@pytest.mark.parametrize("call", ["grant", "release"])
def test_a_response_with_the_id_of_another_call_is_no_answer(call):
    async def scenario(fake, lease_client, target):
        async def send():
            if call == "grant":
                return await lease_client.grant(target, Grant(ALL_KEYS, 1, 2.5), 1.0)
            return await lease_client.release(target, ALL_KEYS, 1, 1.0)

        answered = Granted() if call == "grant" else Released("token")
        # None: no id; "": that of the call.
        fake.echoed = [None, "", "another", None]
        outcomes = [await send() for _ in range(4)]
        assert outcomes[:2] == [answered, answered]
        assert outcomes[2] == Unanswered("response to another call")
        assert outcomes[3] == answered
        assert len(set(fake.ids)) == 4 and all(fake.ids)
        assert fake.used[3] != fake.used[2]

    run_with_lease_target(scenario)


# Guards against a lease that was given and counts as refused: its keys would be granted
# elsewhere at once.
def test_a_copy_of_a_refusal_is_not_taken_for_the_response_to_the_next_grant():
    async def scenario(fake, lease_client, target):
        fake.first_status = 409
        refused = await lease_client.grant(target, Grant(ALL_KEYS, 1, 2.5), 1.0)
        assert refused == Outranked()
        granted = await lease_client.grant(target, Grant(ALL_KEYS, 2, 2.5), 1.0)
        assert granted == Granted()

    run_with_lease_target(scenario)


# Guards against a write that counts as done though the store hasn't received it.
@pytest.mark.parametrize("is_read", [True, False])
def test_a_copy_of_a_store_response_is_not_taken_for_that_to_the_next_write(is_read):
    writers = []
    calls = 0

    def send_response() -> None:
        body = b'{"metadata":{"name":"a","revision":%d}}' % calls
        head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body)
        writers[-1].write(head + body)

    async def serve(reader, writer):
        nonlocal calls
        writers.append(writer)
        with suppress(ConnectionError, asyncio.IncompleteReadError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                await reader.readexactly(int(read_header(head, "Content-Length")))
                calls += 1
                send_response()
        writer.close()

    async def run():
        (port,) = free_ports(1)
        store = PlatformObjectStore(f"127.0.0.1:{port}")
        async with await asyncio.start_server(serve, "127.0.0.1", port):
            assert await store.write("kind", "a", b"{}", None) == Written(1)
            send_response()
            if is_read:
                await asyncio.sleep(0.05)
            assert await store.write("kind", "a", b"{}", None) == Written(2)
            await store.close()
        assert (calls, len(writers)) == (2, 2)

    asyncio.run(run())


# Guards against a copy that comes after the next call was sent: the object tells it.
@pytest.mark.parametrize(
    ("call", "outcome"), [("read", StoreUnavailable), ("write", WriteUnknown)]
)
@pytest.mark.parametrize("metadata", [{"name": "b", "revision": 9}, {"revision": 3}])
def test_a_store_response_about_another_object_is_no_answer(call, outcome, metadata):
    connections = 0

    async def serve(reader, writer):
        nonlocal connections
        connections += 1
        body = orjson.dumps({"metadata": {"name": "a"} | metadata, "spec": {}})
        head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body)
        with suppress(ConnectionError, asyncio.IncompleteReadError):
            while True:
                request = await reader.readuntil(b"\r\n\r\n")
                length = int(read_header(request, "Content-Length") or 0)
                await reader.readexactly(length)
                writer.write(head + body)
        writer.close()

    async def run():
        (port,) = free_ports(1)
        store = PlatformObjectStore(f"127.0.0.1:{port}")
        async with await asyncio.start_server(serve, "127.0.0.1", port):
            for _ in range(2):
                if call == "write":
                    found = await store.write("kind", "a", b"{}", 5)
                else:
                    found = await store.read("kind", "a")
                # A read doesn't know which revision the object has.
                if call == "write" or "name" in metadata:
                    assert isinstance(found, outcome)
                    assert store.pool is None
                else:
                    assert isinstance(found, StoredObject)
            await store.close()

    asyncio.run(run())


class CopyingStore:
    """A store that answers each further call on a connection with a copy first."""

    def __init__(self, bodies) -> None:
        self.bodies = iter(bodies)
        self.connections = 0

    async def serve(self, reader, writer) -> None:
        self.connections += 1
        response = b""
        with suppress(ConnectionError, asyncio.IncompleteReadError):
            while True:
                request = await reader.readuntil(b"\r\n\r\n")
                length = int(read_header(request, "Content-Length") or 0)
                await reader.readexactly(length)
                writer.write(response)
                status, body = next(self.bodies)
                data = orjson.dumps(body)
                head = b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n"
                response = head % (status, len(data)) + data
                writer.write(response)
        writer.close()

    def run(self, scenario) -> None:
        async def run():
            (port,) = free_ports(1)
            store = PlatformObjectStore(f"127.0.0.1:{port}")
            async with await asyncio.start_server(self.serve, "127.0.0.1", port):
                await scenario(store)
                await store.close()

        asyncio.run(run())


# Guards against a write that was done and counts as refused, or the reverse, and
# against objects of one kind that are taken for those of another.
def test_a_late_copy_is_not_the_response_to_the_next_call_to_the_store():
    items = [{"metadata": {"name": "a", "revision": 2}, "spec": {}}]
    fake = CopyingStore(
        [
            (503, {}),
            (200, {"metadata": {"name": "a", "revision": 1}}),
            (200, {"metadata": {"name": "a", "revision": 2}}),
            (200, {"at": 2, "items": items, "hasMore": False}),
            (200, {"at": 2, "items": [], "hasMore": False}),
            (404, {}),
            (200, items[0]),
        ]
    )

    async def scenario(store):
        assert isinstance(await store.write("k", "a", b"{}", None), StoreUnavailable)
        assert await store.write("k", "a", b"{}", None) == Written(1)
        assert await store.write("k", "a", b"{}", 1) == Written(2)
        assert len((await store.list(["k"])).objects) == 1
        assert (await store.list(["other"])).objects == ()
        assert isinstance(await store.read("k", "b"), Missing)
        assert isinstance(await store.read("k", "a"), StoredObject)

    fake.run(scenario)


# Guards against changes that are applied to another kind, or a second time.
def test_a_late_copy_is_not_the_response_to_the_next_watch():
    def batch(revision, kept=True):
        metadata = {"name": "a", "revision": revision}
        event = {"deleted": False, "object": {"metadata": metadata, "spec": {}}}
        return 200, {"at": revision, "events": [event] if kept else []}

    fake = CopyingStore([batch(5), batch(6, kept=False), batch(7), batch(8)])

    async def scenario(store):
        assert (await store.watch(["k"], 4, 0.5)).revision == 5
        assert await store.watch(["other"], 4, 0.5) == WatchBatch(6, ())
        found = await store.watch(["k"], 5, 0.5)
        assert isinstance(found, StoreUnavailable)
        assert (await store.watch(["k"], 5, 0.5)).revision == 8

    fake.run(scenario)


# Guards against keys without an owner until their lease ends: a server with as many
# connections as it accepts resets that of the release.
def test_a_release_at_a_server_that_resets_new_connections_uses_a_kept_one():
    async def scenario(fake, lease_client, target):
        grant = Grant(ALL_KEYS, 1, 2.5)
        assert await lease_client.grant(target, grant, 1.0) == Granted()
        fake.accepts_connections = False
        released = await lease_client.release(target, ALL_KEYS, 1, 1.0)
        assert released == Released("token")
        assert fake.used == [1, 1]

    run_with_lease_target(scenario)


# Guards against the copy of a response to a grant there: it has no handover token.
def test_a_response_without_a_token_on_a_kept_connection_is_not_that_to_a_release():
    async def scenario(fake, lease_client, target):
        grant = Grant(ALL_KEYS, 1, 2.5)
        assert await lease_client.grant(target, grant, 1.0) == Granted()
        fake.accepts_connections = False
        fake.copy = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
        released = await lease_client.release(target, ALL_KEYS, 1, 1.0)
        assert released == Unanswered("response to another call")

    run_with_lease_target(scenario)


# Guards against keys being granted elsewhere while their owner still works: a copy of
# the response to the release before, on the same kept connection.
def test_a_copy_of_a_releases_response_is_not_that_to_the_next_release():
    async def scenario(fake, lease_client, target):
        low, high = KeyRange(0, 100), KeyRange(100, 200)
        assert await lease_client.grant(target, Grant(low, 1, 2.5), 1.0) == Granted()
        fake.accepts_connections = False
        released = await lease_client.release(target, low, 1, 1.0)
        assert released == Released("token")
        fake.copy = b"HTTP/1.1 200 OK\r\nX-Handover: token\r\nContent-Length: 0\r\n\r\n"
        released = await lease_client.release(target, high, 1, 1.0)
        assert released == Unanswered("response to another call")
        assert set(fake.used) == {1}
        # The connection is closed, so nothing else on it counts either.
        fake.accepts_connections, fake.copy = True, b""
        released = await lease_client.release(target, high, 1, 1.0)
        assert released == Released("token")
        assert fake.used[-1] == 2

    run_with_lease_target(scenario)


# Guards against the copy of a response to a release on a kept connection.
def test_a_response_with_a_token_is_not_that_to_a_grant():
    async def scenario(fake, lease_client, target):
        grant = Grant(ALL_KEYS, 1, 2.5)
        assert await lease_client.grant(target, grant, 1.0) == Granted()
        fake.accepts_connections = False
        await lease_client.release(target, ALL_KEYS, 1, 1.0)
        fake.copy = b"HTTP/1.1 200 OK\r\nX-Handover: t\r\nContent-Length: 0\r\n\r\n"
        fake.copy_path = "/-/grant"
        outcome = await lease_client.grant(target, grant, 1.0)
        assert outcome == Unanswered("response to another call")

    run_with_lease_target(scenario)


NO_RESPONSES = [b"000 X", b"099 X", b"101 Switching Protocols", b"600 X", b"999 X"]


# Guards against beliefs that change by what is no response, and by its headers.
@pytest.mark.parametrize("status", NO_RESPONSES)
def test_a_status_that_is_none_is_no_answer_to_a_call(status):
    head = b"HTTP/1.1 %s\r\nServer-Leaving: 1\r\nStore-Era: 5\r\n" % status

    async def serve(reader, writer):
        await reader.read(65_536)
        writer.write(head + b"Content-Length: 0\r\n\r\n")
        with suppress(ConnectionError):
            await reader.read()
        writer.close()

    async def run():
        (port,) = free_ports(1)
        store, lease_client = (
            PlatformObjectStore(f"127.0.0.1:{port}"),
            PlatformLeaseClient(),
        )
        leaving = []
        lease_client.handle_leaving = leaving.append
        target = TargetInstance("t", "s", f"127.0.0.1:{port}", "a", 3, False, 0.0)
        async with await asyncio.start_server(serve, "127.0.0.1", port):
            assert isinstance(await store.list(["servers"]), StoreUnavailable)
            assert isinstance(await store.write("k", "a", b"{}", 0), WriteUnknown)
            granted = await lease_client.grant(target, Grant(ALL_KEYS, 1, 2.5), 1.0)
            released = await lease_client.release(target, ALL_KEYS, 1, 1.0)
            assert isinstance(granted, Unanswered) and isinstance(released, Unanswered)
            await store.close()
            await lease_client.close()
            # The connections' tasks end.
            await asyncio.sleep(0.02)
        assert (store.era, leaving) == (0, [])

    asyncio.run(run())
