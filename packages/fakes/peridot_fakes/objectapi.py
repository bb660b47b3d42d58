"""Stand-in of the operators' platform: its object API, with faults on demand."""

import asyncio
from collections import deque
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

import orjson
from aiohttp import web

PAGE_ITEMS = 50
HISTORY = 1_000
SILENCE_S = 30
# Slow answers are sent in pieces, so far apart.
PIECE_S = 0.05


@dataclass
class ObjectApi:
    """Keep objects by kind and name; each change raises the revision."""

    revision: int = 0
    objects: dict[tuple[str, str], dict] = field(default_factory=dict)
    history: deque = field(default_factory=lambda: deque(maxlen=HISTORY))
    changed: asyncio.Condition = field(default_factory=asyncio.Condition)
    # Answer all calls with this status, if it is set.
    refuse_status: int | None = None
    # Refuse calls that come to these ports.
    refused_ports: set[int] = field(default_factory=set)
    # Take calls and never answer them.
    silent: bool = False
    # Send answers no faster than this.
    bytes_per_s: int | None = None
    # Let watches that begin now hear nothing, not even when their time is up.
    deaf_watches: bool = False
    # Carry out so many writes without answering them.
    lose_answers: int = 0
    calls: int = 0

    @asynccontextmanager
    async def serve(self, port: int) -> AsyncIterator[None]:
        """Listen on loopback while the context lasts."""
        app = web.Application()
        app.router.add_get("/-/objects/{kind}", self._list)
        app.router.add_post("/-/objects/{kind}", self._create)
        app.router.add_get("/-/objects/{kind}/{name}", self._read)
        app.router.add_put("/-/objects/{kind}/{name}", self._replace)
        app.router.add_delete("/-/objects/{kind}/{name}", self._delete)
        runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
        await runner.setup()
        try:
            await web.TCPSite(runner, "127.0.0.1", port).start()
            yield
        finally:
            await runner.cleanup()

    async def put(self, kind: str, name: str, spec: object) -> int:
        """Store an object as the operator and the servers do; return its revision."""
        self.revision += 1
        found = self.objects.get((kind, name))
        metadata = {
            "name": name,
            "revision": self.revision,
            "created": found["metadata"]["created"] if found else self.revision,
            "finalizers": [],
            "deleting": False,
        }
        item = {"metadata": metadata, "spec": spec, "status": None}
        self.objects[kind, name] = item
        await self._record(kind, False, item)
        return self.revision

    async def remove(self, kind: str, name: str) -> None:
        """Remove an object."""
        item = self.objects.pop((kind, name))
        self.revision += 1
        item["metadata"]["revision"] = self.revision
        await self._record(kind, True, item)

    def forget_history(self) -> None:
        """Make all watches from earlier revisions fail."""
        self.history.clear()

    async def _record(self, kind: str, deleted: bool, item: dict) -> None:
        event = {"deleted": deleted, "object": item}
        self.history.append((self.revision, kind, event))
        async with self.changed:
            self.changed.notify_all()

    async def _list(self, request: web.Request) -> web.Response:
        if (refusal := await self._refusal(request)) is not None:
            return refusal
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
        return await self._send(request, page)

    async def _watch(self, kind: str, request: web.Request) -> web.Response:
        if self.deaf_watches:
            await asyncio.sleep(SILENCE_S)
        since = int(request.query["watch"])
        oldest = self.history[0][0] if self.history else self.revision + 1
        if since < oldest - 1 and since < self.revision:
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
        if (refusal := await self._refusal(request)) is not None:
            return refusal
        return await self._send(request, {"events": events(), "at": self.revision})

    async def _send(self, request: web.Request, value: object) -> web.StreamResponse:
        """Answer, as slowly as it is set."""
        if self.bytes_per_s is None:
            return _json(value)
        response = web.StreamResponse()
        await response.prepare(request)
        body = orjson.dumps(value)
        size = int(self.bytes_per_s * PIECE_S)
        for start in range(0, len(body), size):
            await response.write(body[start : start + size])
            await asyncio.sleep(PIECE_S)
        await response.write_eof()
        return response

    async def _read(self, request: web.Request) -> web.Response:
        if (refusal := await self._refusal(request)) is not None:
            return refusal
        item = self.objects.get(_key(request))
        return _json(item) if item else web.Response(status=404)

    async def _create(self, request: web.Request) -> web.Response:
        if (refusal := await self._refusal(request)) is not None:
            return refusal
        body = orjson.loads(await request.read())
        kind, name = request.match_info["kind"], body["metadata"]["name"]
        if (kind, name) in self.objects:
            return _json(self.objects[kind, name], 409)
        return await self._store(kind, name, body["spec"])

    async def _replace(self, request: web.Request) -> web.Response:
        if (refusal := await self._refusal(request)) is not None:
            return refusal
        body = orjson.loads(await request.read())
        kind, name = _key(request)
        found = self.objects.get((kind, name))
        if found is None:
            return web.Response(status=404)
        expected = body["metadata"].get("revision")
        if expected is not None and expected != found["metadata"]["revision"]:
            return _json(found, 409)
        if found["spec"] == body["spec"]:
            return _json(found)
        return await self._store(kind, name, body["spec"])

    async def _delete(self, request: web.Request) -> web.Response:
        if (refusal := await self._refusal(request)) is not None:
            return refusal
        kind, name = _key(request)
        found = self.objects.get((kind, name))
        if found is None:
            return web.Response(status=404)
        await self.remove(kind, name)
        return _json(found)

    async def _store(self, kind: str, name: str, spec: object) -> web.Response:
        await self.put(kind, name, spec)
        if self.lose_answers > 0:
            self.lose_answers -= 1
            await asyncio.sleep(30)
        return _json(self.objects[kind, name])

    async def _refusal(self, request: web.Request) -> web.Response | None:
        self.calls += 1
        if self.silent:
            await asyncio.sleep(SILENCE_S)
            return web.Response(status=503)
        if request.transport.get_extra_info("sockname")[1] in self.refused_ports:
            return web.Response(status=503)
        if self.refuse_status is None:
            return None
        return web.Response(status=self.refuse_status)


def _key(request: web.Request) -> tuple[str, str]:
    return request.match_info["kind"], request.match_info["name"]


def _json(value: object, status: int = 200) -> web.Response:
    body = orjson.dumps(value)
    return web.Response(status=status, body=body, content_type="application/json")
