"""Test what callers see at the HTTP border."""

import asyncio
import random
from contextlib import asynccontextmanager

import pytest
from aiohttp import ClientSession
from hypothesis import given, settings, strategies as st

from peridot_daemon.entry import Entry, to_response
from peridot_daemon.metrics import Metrics
from peridot_daemon.settings import Settings
from peridot_fakes.fleet import free_ports
from peridot_resources.catalog import Catalog, RoutingPolicy, Service
from peridot_routing.matching import Matcher, find_priority, is_idempotent
from peridot_routing.outcomes import Answered, NotRun, Reason, Unknown

POLICY = RoutingPolicy(
    "p", 2000, 1000, 5, (), 0.1, 200, 0.5, 1000, 1000, 60, 1.0, 1.0, 1.0
)
BY_HEADER = Service("s", "/s/", "Key", None, True, frozenset({"GET"}), ("/s/x",), "p")
BY_PATH = Service("t", "/t/", None, "/t/{key}/seats", True, frozenset(), (), "p")
CATALOG = Catalog(1, {"s": BY_HEADER, "t": BY_PATH}, {}, {"p": POLICY})


class EchoRouter:
    """Answer with the key, after a while for orders."""

    def __init__(self):
        self.finished = []

    async def handle(self, request):
        if request.method == "POST":
            await asyncio.sleep(0.2)
        self.finished.append(request.key)
        return Answered(200, (("Content-Type", "text/plain"),), request.key.encode())


@asynccontextmanager
async def serving(**changes):
    (port,) = free_ports(1)
    values = {
        "vm": "vm-1",
        "data_centre": "dc-a",
        "caller_listener": f"127.0.0.1:{port}",
        "peer_listener": "",
        "admin_listener": "",
        "object_api": "",
        "vm_list": "",
        "insecure_peers": True,
    }
    router = EchoRouter()
    chosen = Settings(**(values | changes))
    entry = Entry(chosen, router, lambda: CATALOG, Metrics())
    async with entry.serve(), ClientSession() as session:
        yield session, f"http://127.0.0.1:{port}", router


def call(method, path, **options):
    async def session():
        async with serving() as (session, url, _):
            async with session.request(method, url + path, **options) as answer:
                outcome = answer.headers.get("Request-Outcome")
                return answer.status, outcome, (await answer.read()).decode()

    return asyncio.run(session())


@pytest.mark.parametrize(
    ("path", "headers", "status", "outcome"),
    [
        ("/s/a", {"Key": "k"}, 200, "answered"),
        ("/t/k/seats", {}, 200, "answered"),
        ("/s/a", {}, 400, "not-run"),
        ("/t/k/other", {}, 400, "not-run"),
        ("/s/a", {"Key": "k" * 600}, 400, "not-run"),
        ("/unknown", {"Key": "k"}, 404, "not-run"),
    ],
)
def test_service_and_key_are_found_or_refused(path, headers, status, outcome):
    found = call("GET", path, headers=headers)
    assert found[:2] == (status, outcome)
    if status == 200:
        assert found[2] == "k"


def test_body_over_the_limit_is_refused_unread():
    found = call("POST", "/s/a", headers={"Key": "k"}, data=b"x" * 2000)
    assert found[:2] == (413, "not-run")


def test_order_runs_on_when_its_caller_leaves_and_a_lookup_does_not():
    async def session():
        async with serving() as (session, url, router):
            with pytest.raises(TimeoutError):
                async with asyncio.timeout(0.05):
                    await session.post(f"{url}/s/a", headers={"Key": "order"})
            await asyncio.sleep(0.4)
            return router.finished

    assert asyncio.run(session()) == ["order"]


def test_one_caller_holds_only_so_many_requests():
    async def session():
        async with serving(max_caller_requests=2) as (session, url, _):
            calls = [session.post(f"{url}/s/a", headers={"Key": "k"}) for _ in range(4)]
            answers = await asyncio.gather(*calls)
            return sorted(answer.status for answer in answers)

    assert asyncio.run(session()) == [200, 200, 429, 429]


def test_garbage_on_the_wire_leaves_the_listener_alive():
    async def session():
        async with serving() as (session, url, _):
            rng = random.Random(1)
            port = int(url.rsplit(":", 1)[1])
            for _ in range(50):
                _, writer = await asyncio.open_connection("127.0.0.1", port)
                writer.write(rng.randbytes(rng.randrange(1, 300)) + b"\r\n\r\n")
                writer.close()
            async with session.get(f"{url}/s/a", headers={"Key": "k"}) as answer:
                return answer.status

    assert asyncio.run(session()) == 200


@settings(derandomize=True)
@given(path=st.text(max_size=60), headers=st.dictionaries(st.text(), st.text()))
def test_matching_never_breaks_on_any_path_or_header(path, headers):
    matched = Matcher(CATALOG).match(path, headers)
    assert isinstance(matched, NotRun) or matched.service.name in CATALOG.services
    assert is_idempotent(BY_HEADER, "POST", path) == path.startswith("/s/x")
    assert find_priority(POLICY, path) == 5


@pytest.mark.parametrize(
    ("outcome", "status", "retry_after"),
    [
        (NotRun(Reason.OVERLOADED, 1500), 503, "2"),
        (NotRun(Reason.NO_PERMIT), 503, "1"),
        (NotRun(Reason.CALLER_LIMIT), 429, "1"),
        (NotRun(Reason.MISSING_KEY), 400, None),
        (Unknown(Reason.DEADLINE), 504, None),
        (Unknown(Reason.TORN_ANSWER), 502, None),
    ],
)
def test_outcomes_have_their_status(outcome, status, retry_after):
    response = to_response(outcome)
    assert response.status == status
    assert response.headers.get("Retry-After") == retry_after
