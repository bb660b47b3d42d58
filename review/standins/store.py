"""Stand-in for the platform's store of objects, as the pages describe it."""

import asyncio
import copy
import json
from urllib.parse import parse_qs, urlsplit

from http11 import HttpServer, Message

PAGE_ITEMS = 500
JSON = {"Content-Type": "application/json"}


class Store:
    """Objects by kind and name; each change raises the revision."""

    def __init__(self) -> None:
        self.revision = 10
        self.objects: dict[tuple[str, str], dict] = {}
        self.history: list[tuple[int, str, dict]] = []
        self.changed = asyncio.Condition()
        self.era = 0
        # Calls hang without a response while this is set.
        self.silent = False
        self.server = HttpServer(self._handle)

    async def put(self, kind: str, name: str, spec: object) -> int:
        """Store an object, as the operator and the endpoints do."""
        stored = self.objects.get((kind, name))
        if stored is not None and stored["spec"] == spec:
            return self.revision
        self.revision += 1
        metadata = {
            "name": name,
            "revision": self.revision,
            "created": stored["metadata"]["created"] if stored else self.revision,
            "finalizers": [],
            "deleting": False,
        }
        item = {"metadata": metadata, "spec": spec, "status": None}
        self.objects[kind, name] = item
        await self._record(kind, {"object": item, "deleted": False})
        return self.revision

    async def remove(self, kind: str, name: str) -> None:
        """Remove an object."""
        item = copy.deepcopy(self.objects.pop((kind, name), None))
        if item is not None:
            self.revision += 1
            item["metadata"]["revision"] = self.revision
            await self._record(kind, {"object": item, "deleted": True})

    def take_copy(self) -> tuple[int, dict]:
        """Return a copy from which the store can be restored."""
        return self.revision, copy.deepcopy(self.objects)

    async def restore(self, saved: tuple[int, dict]) -> None:
        """Come back from a copy: revisions go back, the era rises."""
        self.revision, self.objects = saved[0], copy.deepcopy(saved[1])
        self.history.clear()
        self.era += 1
        async with self.changed:
            self.changed.notify_all()

    async def _record(self, kind: str, event: dict) -> None:
        self.history.append((self.revision, kind, copy.deepcopy(event)))
        async with self.changed:
            self.changed.notify_all()

    async def _handle(self, request: Message):
        if self.silent:
            await asyncio.sleep(60)
            return None
        era = self.era
        answer = await self._answer(request)
        if self.silent or era != self.era:
            # The connections of a store that goes away end.
            return None
        status, value = answer
        headers = JSON | {"Store-Era": str(self.era)}
        return status, headers, json.dumps(value).encode() if value else b""

    async def _answer(self, request: Message) -> tuple[int, object]:
        url = urlsplit(request.target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        parts = url.path.strip("/").split("/")
        kind = parts[2]
        if request.method == "GET" and len(parts) == 3:
            if "watch" in query:
                return await self._watch(kind, query)
            return 200, self._list(kind, query)
        if request.method == "POST":
            name = json.loads(request.body)["metadata"]["name"]
        else:
            name = parts[3]
        stored = self.objects.get((kind, name))
        if request.method == "GET":
            return (200, stored) if stored else (404, None)
        return await self._write(request, kind, name, stored, query)

    async def _write(self, request: Message, kind, name, stored, query):
        if request.method == "POST":
            if stored is not None:
                return 409, stored
            await self.put(kind, name, json.loads(request.body)["spec"])
            return 201, self.objects[kind, name]
        if stored is None:
            return 404, None
        body = json.loads(request.body) if request.body else {"metadata": {}}
        expected = query.get("revision") or body["metadata"].get("revision")
        if expected and int(expected) != stored["metadata"]["revision"]:
            return 409, stored
        if request.method == "DELETE":
            await self.remove(kind, name)
            return 200, stored
        await self.put(kind, name, body["spec"])
        return 200, self.objects[kind, name]

    def _list(self, kind: str, query: dict[str, str]) -> dict:
        after = query.get("after", "")
        names = sorted(n for k, n in self.objects if k == kind and n > after)
        return {
            "items": [self.objects[kind, name] for name in names[:PAGE_ITEMS]],
            "hasMore": len(names) > PAGE_ITEMS,
            "at": self.revision,
        }

    async def _watch(self, kind: str, query: dict[str, str]) -> tuple[int, object]:
        since = int(query["watch"])
        oldest = self.history[0][0] if self.history else self.revision + 1
        if since > self.revision or (since < oldest - 1 and since < self.revision):
            return 410, None

        def events() -> list[dict]:
            return [e for at, k, e in self.history if at > since and k == kind]

        try:
            async with (
                asyncio.timeout(int(query.get("waitMs", "0")) / 1000),
                self.changed,
            ):
                await self.changed.wait_for(events)
        except TimeoutError:
            pass
        return 200, {"events": events(), "at": self.revision}
