"""Stand-in for the object API of the gateway mode's platform, with faults."""

import asyncio
from collections import deque
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

import orjson
from aiohttp import web

PAGE_ITEMS = 50
HISTORY_LENGTH = 1_000
# How long calls hang that aren't answered; longer than the timeouts of callers.
HANG_S = 30
# Slow responses are sent in chunks at this interval.
CHUNK_PERIOD_S = 0.05


@dataclass
class ObjectApi:
    """A store of objects by kind and name over HTTP; a change raises the revision."""

    revision: int = 0
    objects: dict[tuple[str, str], dict] = field(default_factory=dict)
    history: deque = field(default_factory=lambda: deque(maxlen=HISTORY_LENGTH))
    changed: asyncio.Condition = field(default_factory=asyncio.Condition)
    # Respond to all calls with this status, if set.
    error_status: int | None = None
    # Respond to calls on these ports with status 503.
    refused_ports: set[int] = field(default_factory=set)
    # Accept calls and don't respond.
    unresponsive: bool = False
    # Send responses no faster than this, if set.
    bytes_per_s: int | None = None
    # Let watches that begin now hang, without changes and past their timeout.
    stalled_watches: bool = False
    # Let the next so many writes take effect, but don't respond to them.
    lose_answers: int = 0
    calls: int = 0
    # Number of restores from a copy; a header of all responses once there was one.
    era: int = 0

    @asynccontextmanager
    async def serve(self, port: int) -> AsyncIterator[None]:
        """Serve on a loopback port while the context lasts."""
        app = web.Application()
        app.router.add_get("/-/objects/{kind}", self._list)
        app.router.add_post("/-/objects/{kind}", self._create)
        app.router.add_get("/-/objects/{kind}/{name}", self._read)
        app.router.add_put("/-/objects/{kind}/{name}", self._replace)
        app.router.add_delete("/-/objects/{kind}/{name}", self._delete)
        app.on_response_prepare.append(self._add_era)
        runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
        await runner.setup()
        try:
            await web.TCPSite(runner, "127.0.0.1", port).start()
            yield
        finally:
            await runner.cleanup()

    async def put(self, kind: str, name: str, spec: object) -> int:
        """Store an object, as operators and servers do; return its revision."""
        self.revision += 1
        stored = self.objects.get((kind, name))
        metadata = {
            "name": name,
            "revision": self.revision,
            "created": stored["metadata"]["created"] if stored else self.revision,
            "finalizers": [],
            "deleting": False,
        }
        item = {"metadata": metadata, "spec": spec, "status": None}
        self.objects[kind, name] = item
        await self._record(kind, False, item)
        return self.revision

    async def remove(self, kind: str, name: str) -> None:
        """Delete an object."""
        item = self.objects.pop((kind, name))
        self.revision += 1
        item["metadata"]["revision"] = self.revision
        await self._record(kind, True, item)

    def take_copy(self) -> tuple[int, dict[tuple[str, str], dict]]:
        """Return a copy from which the store can be restored: revision and objects."""
        return self.revision, _copy(self.objects)

    async def restore(self, saved: tuple[int, dict[tuple[str, str], dict]]) -> None:
        """Begin a new era with the objects of a copy; revisions go back to its own."""
        self.era += 1
        self.revision, self.objects = saved[0], _copy(saved[1])
        self.history.clear()
        async with self.changed:
            self.changed.notify_all()

    async def _add_era(
        self, request: web.BaseRequest, response: web.StreamResponse
    ) -> None:
        if self.era:
            response.headers["Store-Era"] = str(self.era)

    def drop_history(self) -> None:
        """Drop the history, so that watches from earlier revisions fail (410)."""
        self.history.clear()

    async def _record(self, kind: str, deleted: bool, item: dict) -> None:
        event = {"deleted": deleted, "object": item}
        self.history.append((self.revision, kind, event))
        async with self.changed:
            self.changed.notify_all()

    async def _list(self, request: web.Request) -> web.Response:
        if (fault_response := await self._fault_response(request)) is not None:
            return fault_response
        kind = request.match_info["kind"]
        if "watch" in request.query:
            self.calls -= 1
            return await self._watch(kind, request)
        after = request.query.get("after", "")
        names = sorted(n for k, n in self.objects if k == kind and n > after)
        page = {
            "items": [self.objects[kind, name] for name in names[:PAGE_ITEMS]],
            "hasMore": len(names) > PAGE_ITEMS,
            "at": self.revision,
        }
        return await self._respond(request, page)

    async def _watch(self, kind: str, request: web.Request) -> web.Response:
        if self.stalled_watches:
            await asyncio.sleep(HANG_S)
        since = int(request.query["watch"])
        oldest = self.history[0][0] if self.history else self.revision + 1
        if (since < oldest - 1 and since < self.revision) or since > self.revision:
            return web.Response(status=410)

        def events() -> list[dict]:
            return [e for at, k, e in self.history if at > since and k == kind]

        try:
            async with (
                asyncio.timeout(int(request.query["waitMs"]) / 1000),
                self.changed,
            ):
                await self.changed.wait_for(events)
        except TimeoutError:
            pass
        if (fault_response := await self._fault_response(request)) is not None:
            return fault_response
        return await self._respond(request, {"events": events(), "at": self.revision})

    async def _respond(self, request: web.Request, value: object) -> web.StreamResponse:
        """Send a value, in chunks if the rate is limited."""
        if self.bytes_per_s is None:
            return _json(value)
        response = web.StreamResponse()
        await response.prepare(request)
        body = orjson.dumps(value)
        size = int(self.bytes_per_s * CHUNK_PERIOD_S)
        for start in range(0, len(body), size):
            await response.write(body[start : start + size])
            await asyncio.sleep(CHUNK_PERIOD_S)
        await response.write_eof()
        return response

    async def _read(self, request: web.Request) -> web.Response:
        if (fault_response := await self._fault_response(request)) is not None:
            return fault_response
        item = self.objects.get(_key(request))
        return _json(item) if item else web.Response(status=404)

    async def _create(self, request: web.Request) -> web.Response:
        if (fault_response := await self._fault_response(request)) is not None:
            return fault_response
        body = orjson.loads(await request.read())
        kind, name = request.match_info["kind"], body["metadata"]["name"]
        if (kind, name) in self.objects:
            return _json(self.objects[kind, name], 409)
        return await self._put_and_respond(kind, name, body["spec"])

    async def _replace(self, request: web.Request) -> web.Response:
        if (fault_response := await self._fault_response(request)) is not None:
            return fault_response
        body = orjson.loads(await request.read())
        kind, name = _key(request)
        stored = self.objects.get((kind, name))
        if stored is None:
            return web.Response(status=404)
        expected = body["metadata"].get("revision")
        if expected is not None and expected != stored["metadata"]["revision"]:
            return _json(stored, 409)
        if stored["spec"] == body["spec"]:
            return _json(stored)
        return await self._put_and_respond(kind, name, body["spec"])

    async def _delete(self, request: web.Request) -> web.Response:
        if (fault_response := await self._fault_response(request)) is not None:
            return fault_response
        kind, name = _key(request)
        stored = self.objects.get((kind, name))
        if stored is None:
            return web.Response(status=404)
        await self.remove(kind, name)
        return _json(stored)

    async def _put_and_respond(
        self, kind: str, name: str, spec: object
    ) -> web.Response:
        await self.put(kind, name, spec)
        if self.lose_answers > 0:
            self.lose_answers -= 1
            await asyncio.sleep(30)
        return _json(self.objects[kind, name])

    async def _fault_response(self, request: web.Request) -> web.Response | None:
        self.calls += 1
        if self.unresponsive:
            await asyncio.sleep(HANG_S)
            return web.Response(status=503)
        if request.transport is None:  # The caller has gone.
            return web.Response(status=503)
        if request.transport.get_extra_info("sockname")[1] in self.refused_ports:
            return web.Response(status=503)
        if self.error_status is None:
            return None
        return web.Response(status=self.error_status)


def _key(request: web.Request) -> tuple[str, str]:
    return request.match_info["kind"], request.match_info["name"]


def _copy(objects: dict[tuple[str, str], dict]) -> dict[tuple[str, str], dict]:
    # Specs are replaced, never changed, and those given as text can't be copied.
    return {
        key: {**item, "metadata": dict(item["metadata"])}
        for key, item in objects.items()
    }


def _json(value: object, status: int = 200) -> web.Response:
    body = orjson.dumps(value)
    return web.Response(status=status, body=body, content_type="application/json")
