"""Test the HTTP server for callers: matching, limits, responses."""

import asyncio
import random
from contextlib import asynccontextmanager

import pytest
from aiohttp import ClientSession
from hypothesis import given, settings, strategies as st

from peridot_daemon.entry import CallerServer, build_response
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
    """Respond with the key; POST requests, which aren't idempotent, take 0.2 s."""

    def __init__(self):
        self.finished = []

    async def handle(self, request):
        if request.method == "POST":
            await asyncio.sleep(0.2)
        self.finished.append(request.key)
        return Answered(200, (("Content-Type", "text/plain"),), request.key.encode())


@asynccontextmanager
async def run_caller_server(**overrides):
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
    server_settings = Settings(**(values | overrides))
    server = CallerServer(server_settings, router, lambda: CATALOG, Metrics())
    async with server.serve(), ClientSession() as session:
        yield session, f"http://127.0.0.1:{port}", router


def send_request(method, path, **options):
    """Return status, outcome header and body of the response to one request."""

    async def scenario():
        async with run_caller_server() as (session, url, _):
            async with session.request(method, url + path, **options) as response:
                outcome = response.headers.get("Request-Outcome")
                return response.status, outcome, (await response.read()).decode()

    return asyncio.run(scenario())


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
def test_requests_are_matched_or_rejected_by_service_and_key(
    path, headers, status, outcome
):
    response = send_request("GET", path, headers=headers)
    assert response[:2] == (status, outcome)
    if status == 200:
        assert response[2] == "k"


def test_body_over_the_limit_is_rejected():
    response = send_request("POST", "/s/a", headers={"Key": "k"}, data=b"x" * 2000)
    assert response[:2] == (413, "not-run")


def test_non_idempotent_request_completes_after_its_caller_disconnects():
    async def scenario():
        async with run_caller_server() as (session, url, router):
            with pytest.raises(TimeoutError):
                async with asyncio.timeout(0.05):
                    await session.post(f"{url}/s/a", headers={"Key": "order"})
            await asyncio.sleep(0.4)
            return router.finished

    assert asyncio.run(scenario()) == ["order"]


def test_requests_in_flight_are_limited_per_caller():
    async def scenario():
        async with run_caller_server(max_caller_requests=2) as (session, url, _):
            calls = [session.post(f"{url}/s/a", headers={"Key": "k"}) for _ in range(4)]
            responses = await asyncio.gather(*calls)
            return sorted(response.status for response in responses)

    assert asyncio.run(scenario()) == [200, 200, 429, 429]


def test_listener_survives_random_bytes():
    async def scenario():
        async with run_caller_server() as (session, url, _):
            rng = random.Random(1)
            port = int(url.rsplit(":", 1)[1])
            for _ in range(50):
                _, writer = await asyncio.open_connection("127.0.0.1", port)
                writer.write(rng.randbytes(rng.randrange(1, 300)) + b"\r\n\r\n")
                writer.close()
            async with session.get(f"{url}/s/a", headers={"Key": "k"}) as response:
                return response.status

    assert asyncio.run(scenario()) == 200


@settings(derandomize=True)
@given(path=st.text(max_size=60), headers=st.dictionaries(st.text(), st.text()))
def test_matching_accepts_any_path_and_headers_without_an_exception(path, headers):
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
def test_outcomes_map_to_status_and_retry_after(outcome, status, retry_after):
    response = build_response(outcome)
    assert response.status == status
    assert response.headers.get("Retry-After") == retry_after
