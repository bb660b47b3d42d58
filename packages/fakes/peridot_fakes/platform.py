"""Stand-in for the platform of peridotd: object API and VM list, with faults.

The stand-in for the gateway mode's platform is in objectapi.py.
"""

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
# A change of the VM list is visible after this time.
VM_LIST_LAG_S = 2.0

flags.DEFINE_integer("port", 6000, "Port to listen on.")


class PlatformServer:
    """Serve the object API, the VM list and endpoints that inject faults."""

    def __init__(self) -> None:
        self.store = MemoryObjectStore()
        self.vms: dict[str, VmRecord] = {}
        self.vm_history: list[tuple[float, tuple[VmRecord, ...]]] = []
        self.vm_lag_s = VM_LIST_LAG_S
        self.vm_list_reads = 0

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
        """Respond with all objects of some kinds and the store's revision."""
        found = await self.store.list(_kinds(request))
        if isinstance(found, StoreUnavailable):
            return _json(503, {"reason": found.reason})
        objects = [serialize_change(item) for item in found.objects]
        return _json(200, {"revision": found.revision, "objects": objects})

    async def read_object(self, request: web.Request) -> web.Response:
        """Respond with one object."""
        found = await self.store.read(*_object_id(request))
        match found:
            case StoredObject():
                return _json(200, serialize_change(found))
            case Missing():
                return _json(404, {"reason": "no such object"})
        return _json(503, {"reason": found.reason})

    async def write_object(self, request: web.Request) -> web.Response:
        """Store an object if it has the version that the request expects."""
        value = await request.read()
        try:
            orjson.loads(value)
        except ValueError:
            return _json(400, {"reason": "the value is not JSON"})
        outcome = await self.store.write(
            *_object_id(request), value, _expected_version(request)
        )
        return _respond_to_write(request, outcome)

    async def delete_object(self, request: web.Request) -> web.Response:
        """Delete an object if it has the version that the request expects."""
        outcome = await self.store.delete(
            *_object_id(request), _expected_version(request)
        )
        return _respond_to_write(request, outcome)

    async def watch_objects(self, request: web.Request) -> web.Response:
        """Respond with the changes after a revision, or with none on timeout."""
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
        """Respond with the VM list as it was `vm_lag_s` ago."""
        self.vm_list_reads += 1
        if self.store.outage:
            return _json(503, {"reason": "outage"})
        now = monotonic()
        visible: tuple[VmRecord, ...] = ()
        for since, vms in self.vm_history:
            if since + self.vm_lag_s <= now or not visible:
                visible = vms
        return web.Response(
            body=serialize_vms(visible), content_type="application/json"
        )

    async def set_vms(self, request: web.Request) -> web.Response:
        """Replace the VM list; it becomes visible after `vm_lag_s`."""
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
        """Set an outage, a delay, lost responses or the VM list's lag."""
        data = orjson.loads(await request.read())
        if "outage" in data:
            await self.store.set_outage(data["outage"])
        self.store.delay_s = data.get("delay_s", self.store.delay_s)
        self.store.lose_answers = data.get("lose_answers", self.store.lose_answers)
        self.vm_lag_s = data.get("vm_lag_s", self.vm_lag_s)
        return _json(200, {})

    async def read_history(self, request: web.Request) -> web.Response:
        """Respond with the changes of some kinds that the store still keeps."""
        kinds = _kinds(request)
        found = [item for item in self.store.history if item.kind in kinds]
        return _json(200, {"changes": [serialize_change(item) for item in found]})

    async def read_counts(self, request: web.Request) -> web.Response:
        """Respond with the numbers of reads and writes so far, and the revision."""
        return _json(
            200,
            {
                "reads": self.store.reads + self.vm_list_reads,
                "writes": self.store.writes,
                "revision": self.store.revision,
            },
        )


def _object_id(request: web.Request) -> tuple[str, str]:
    return request.match_info["kind"], request.match_info["name"]


def _kinds(request: web.Request) -> list[str]:
    return request.query["kinds"].split(",")


def _expected_version(request: web.Request) -> int | None:
    header = request.headers.get("If-Match")
    return None if header is None else int(header.strip('"'))


def _respond_to_write(request: web.Request, outcome: WriteOutcome) -> web.Response:
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


def _json(status: int, data: dict) -> web.Response:
    body = orjson.dumps(data)
    return web.Response(status=status, body=body, content_type="application/json")


async def serve(application: web.Application, *ports: int) -> None:
    """Serve an application on loopback ports until cancelled."""
    runner = web.AppRunner(application, access_log=None, shutdown_timeout=0.1)
    await runner.setup()
    for port in ports:
        await web.TCPSite(runner, "127.0.0.1", port).start()
    await asyncio.Event().wait()


def main(argv: list[str]) -> None:
    """Serve the platform on a port."""
    uvloop.run(serve(PlatformServer().build_app(), flags.FLAGS.port))


if __name__ == "__main__":
    app.run(main)
