"""Stand-in for the platform: object API and VM list, failing on demand."""

import asyncio
from time import monotonic

import orjson
import uvloop
from absl import app, flags
from aiohttp import web

from peridot_objects.codec import serialize_change
from peridot_objects.objects import MemoryObjectStore
from peridot_objects.outcomes import (
    Conflict,
    Missing,
    Rejected,
    RevisionTooOld,
    StoredObject,
    StoreUnavailable,
    WriteOutcome,
    WriteUnknown,
    Written,
)
from peridot_objects.vms import VmRecord, VmState, serialize_vms

MAX_REQUEST_BYTES = 2_000_000
VM_LIST_LAG_S = 2.0

flags.DEFINE_integer("port", 6000, "Port to listen on.")


class PlatformServer:
    """Serve the object API, the VM list and switches for faults."""

    def __init__(self) -> None:
        self.store = MemoryObjectStore()
        self.vms: dict[str, VmRecord] = {}
        self.vm_history: list[tuple[float, tuple[VmRecord, ...]]] = []
        self.vm_lag_s = VM_LIST_LAG_S
        self.vm_reads = 0

    def build_app(self) -> web.Application:
        """Return the application with all routes."""
        app = web.Application(client_max_size=MAX_REQUEST_BYTES)
        app.router.add_get("/objects", self.list_objects)
        app.router.add_get("/objects/{kind}/{name}", self.read_object)
        app.router.add_put("/objects/{kind}/{name}", self.write_object)
        app.router.add_delete("/objects/{kind}/{name}", self.delete_object)
        app.router.add_get("/watch", self.watch_objects)
        app.router.add_get("/vms", self.list_vms)
        app.router.add_put("/-/vms", self.set_vms)
        app.router.add_post("/-/faults", self.set_faults)
        app.router.add_get("/-/counts", self.read_counts)
        app.router.add_get("/-/history", self.read_history)
        return app

    async def list_objects(self, request: web.Request) -> web.Response:
        """Answer with all objects of some kinds."""
        found = await self.store.list(_kinds(request))
        if isinstance(found, StoreUnavailable):
            return _json(503, {"reason": found.reason})
        objects = [serialize_change(item) for item in found.objects]
        return _json(200, {"revision": found.revision, "objects": objects})

    async def read_object(self, request: web.Request) -> web.Response:
        """Answer with one object."""
        found = await self.store.read(*_identity(request))
        match found:
            case StoredObject():
                return _json(200, serialize_change(found))
            case Missing():
                return _json(404, {"reason": "no such object"})
        return _json(503, {"reason": found.reason})

    async def write_object(self, request: web.Request) -> web.Response:
        """Store an object if the expected version stands."""
        value = await request.read()
        try:
            orjson.loads(value)
        except ValueError:
            return _json(400, {"reason": "the value is not JSON"})
        outcome = await self.store.write(*_identity(request), value, _expected(request))
        return _write_response(request, outcome)

    async def delete_object(self, request: web.Request) -> web.Response:
        """Remove an object if the expected version stands."""
        outcome = await self.store.delete(*_identity(request), _expected(request))
        return _write_response(request, outcome)

    async def watch_objects(self, request: web.Request) -> web.Response:
        """Answer when objects have changed after a revision, or on timeout."""
        timeout_s = int(request.query["timeout_ms"]) / 1000
        since = int(request.query["since"])
        batch = await self.store.watch(_kinds(request), since, timeout_s)
        match batch:
            case RevisionTooOld():
                return _json(410, {"reason": "list again"})
            case StoreUnavailable(reason):
                return _json(503, {"reason": reason})
        changes = [serialize_change(change) for change in batch.changes]
        return _json(200, {"revision": batch.revision, "changes": changes})

    async def list_vms(self, request: web.Request) -> web.Response:
        """Answer with the VM list as it stood a lag ago."""
        self.vm_reads += 1
        if self.store.outage:
            return _json(503, {"reason": "outage"})
        now = monotonic()
        shown: tuple[VmRecord, ...] = ()
        for since, vms in self.vm_history:
            if since + self.vm_lag_s <= now or not shown:
                shown = vms
        return web.Response(body=serialize_vms(shown), content_type="application/json")

    async def set_vms(self, request: web.Request) -> web.Response:
        """Replace the VM list; readers see it after the lag."""
        vms = tuple(
            VmRecord(
                item["name"],
                item["data_centre"],
                item["peer_address"],
                VmState(item["state"]),
            )
            for item in orjson.loads(await request.read())
        )
        self.vm_history.append((monotonic(), vms))
        return _json(200, {})

    async def set_faults(self, request: web.Request) -> web.Response:
        """Switch an outage, slowness, lost answers or the VM list's lag."""
        form = orjson.loads(await request.read())
        if "outage" in form:
            await self.store.set_outage(form["outage"])
        self.store.delay_s = form.get("delay_s", self.store.delay_s)
        self.store.lose_answers = form.get("lose_answers", self.store.lose_answers)
        self.vm_lag_s = form.get("vm_lag_s", self.vm_lag_s)
        return _json(200, {})

    async def read_history(self, request: web.Request) -> web.Response:
        """Answer with every change of some kinds that is remembered."""
        kinds = _kinds(request)
        found = [item for item in self.store.history if item.kind in kinds]
        return _json(200, {"changes": [serialize_change(item) for item in found]})

    async def read_counts(self, request: web.Request) -> web.Response:
        """Answer with the numbers of calls so far."""
        return _json(
            200,
            {
                "reads": self.store.reads + self.vm_reads,
                "writes": self.store.writes,
                "revision": self.store.revision,
            },
        )


def _identity(request: web.Request) -> tuple[str, str]:
    return request.match_info["kind"], request.match_info["name"]


def _kinds(request: web.Request) -> list[str]:
    return request.query["kinds"].split(",")


def _expected(request: web.Request) -> int | None:
    header = request.headers.get("If-Match")
    return None if header is None else int(header.strip('"'))


def _write_response(request: web.Request, outcome: WriteOutcome) -> web.Response:
    match outcome:
        case Written(version):
            return _json(200, {"version": version})
        case Conflict(version):
            return _json(409, {"version": version})
        case Rejected(reason):
            return _json(413, {"reason": reason})
        case WriteUnknown():
            request.transport.abort()
            return _json(500, {})
    return _json(503, {"reason": outcome.reason})


def _json(status: int, form: dict) -> web.Response:
    body = orjson.dumps(form)
    return web.Response(status=status, body=body, content_type="application/json")


async def serve(app_to_serve: web.Application, *ports: int) -> None:
    """Listen on loopback ports until cancelled."""
    runner = web.AppRunner(app_to_serve, access_log=None, shutdown_timeout=0.1)
    await runner.setup()
    for port in ports:
        await web.TCPSite(runner, "127.0.0.1", port).start()
    await asyncio.Event().wait()


def main(argv: list[str]) -> None:
    """Serve the platform on a port."""
    uvloop.run(serve(PlatformServer().build_app(), flags.FLAGS.port))


if __name__ == "__main__":
    app.run(main)
