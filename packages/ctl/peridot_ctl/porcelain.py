"""What an operator can do: one function for each action."""

import asyncio
import difflib
from collections.abc import AsyncIterator, Iterable
from dataclasses import dataclass
from pathlib import Path
from time import monotonic

import orjson
from aiohttp import ClientSession

from peridot_ctl.errors import ActionOutcome, Applied, Failed, Raced, Uncertain
from peridot_objects.objects import ObjectStore
from peridot_objects.outcomes import (
    Change,
    Conflict,
    Listing,
    Rejected,
    StoredObject,
    StoreUnavailable,
    WatchBatch,
    WriteOutcome,
    WriteUnknown,
    Written,
)
from peridot_resources.catalog import CONFIGURATION_KINDS, Kind
from peridot_resources.errors import InvalidManifests
from peridot_resources.manifests import check_references, read_manifests
from peridot_resources.models import Manifest, dump_spec

WATCH_TIMEOUT_S = 30.0
STATUS_POLL_S = 0.2
READ_BACK_TRIES = 5
READ_BACK_PAUSE_S = 0.2
# Referred-to kinds come first, so that no reference dangles meanwhile.
APPLY_ORDER = (Kind.ROUTING_POLICY, Kind.SERVICE, Kind.TARGET)


@dataclass(frozen=True)
class DataCentreView:
    """Hold what the status object of a data centre says."""

    name: str
    status: dict


@dataclass(frozen=True)
class StatusView:
    """Hold the accepted revision and each data centre's view of it."""

    accepted_revision: int
    data_centres: tuple[DataCentreView, ...]

    def describe(self, item: StoredObject) -> str:
        """Return what the data centres say of a resource."""
        revisions = [view.status["revision_in_force"] for view in self.data_centres]
        if not revisions:
            return "unknown"
        in_force = "in force" if min(revisions) >= item.version else "accepted"
        for view in self.data_centres:
            found = view.status["targets"].get(item.name)
            if item.kind == Kind.TARGET and found is not None:
                return f"{in_force}, {found['state']}, {found['owned_slices']} slices"
        return in_force

    def behind(self, revision: int) -> list[str]:
        """Return the VMs that haven't a revision in force."""
        return [
            f"{view.name}/{vm} at {found}"
            for view in self.data_centres
            for vm, found in view.status["vm_revisions"].items()
            if found < revision
        ]


def validate(files: Iterable[Path]) -> list[Manifest]:
    """Return the manifests of files; raise InvalidManifests."""
    return read_manifests(files)


async def apply(
    store: ObjectStore, files: Iterable[Path], dry_run: bool = False
) -> list[ActionOutcome]:
    """Store the declared resources; raise InvalidManifests before any write."""
    manifests = read_manifests(files)
    listing = await store.list(sorted(CONFIGURATION_KINDS))
    if not isinstance(listing, Listing):
        return [Failed("-", "-", listing.reason)]
    current = {(item.kind, item.name): item for item in listing.objects}
    errors = check_references(manifests, lambda kind, name: (kind, name) in current)
    if errors:
        raise InvalidManifests(errors)
    ordered = sorted(manifests, key=lambda item: APPLY_ORDER.index(item.kind))
    return [await _apply_one(store, manifest, current, dry_run) for manifest in ordered]


async def get(
    store: ObjectStore, kinds: Iterable[str], name: str | None
) -> list[StoredObject] | StoreUnavailable:
    """Return the stored resources of some kinds, ordered by kind and name."""
    listing = await store.list(tuple(kinds))
    if not isinstance(listing, Listing):
        return listing
    found = [item for item in listing.objects if name is None or item.name == name]
    return sorted(found, key=lambda item: (item.kind, item.name))


async def delete(store: ObjectStore, kind: str, name: str) -> ActionOutcome:
    """Remove a resource that no other refers to."""
    listing = await store.list(sorted(CONFIGURATION_KINDS))
    if not isinstance(listing, Listing):
        return Failed(kind, name, listing.reason)
    users = _users_of(listing, kind, name)
    if users:
        return Failed(kind, name, f"still used by {', '.join(users)}")
    found = [o for o in listing.objects if (o.kind, o.name) == (kind, name)]
    if not found:
        return Failed(kind, name, "does not exist")
    outcome = await store.delete(kind, name, found[0].version)
    match outcome:
        case Written(version):
            return Applied(kind, name, "deleted", version)
        case Conflict(version):
            return Raced(kind, name, f"changed meanwhile, version {version}")
        case WriteUnknown(reason):
            return Uncertain(kind, name, reason)
        case Rejected(reason) | StoreUnavailable(reason):
            return Failed(kind, name, reason)


async def watch(store: ObjectStore, kinds: Iterable[str]) -> AsyncIterator[Change]:
    """Yield the resources as they stand, then each change."""
    kinds = tuple(kinds)
    revision = -1
    while True:
        if revision < 0:
            listing = await store.list(kinds)
            if isinstance(listing, Listing):
                for item in listing.objects:
                    yield item
                revision = listing.revision
        else:
            batch = await store.watch(kinds, revision, WATCH_TIMEOUT_S)
            if isinstance(batch, WatchBatch):
                for change in batch.changes:
                    yield change
                revision = batch.revision
                continue
            revision = -1
        await asyncio.sleep(STATUS_POLL_S)


async def status(store: ObjectStore) -> StatusView | StoreUnavailable:
    """Return the status that the data centres have written."""
    listing = await store.list((*sorted(CONFIGURATION_KINDS), Kind.STATUS))
    if not isinstance(listing, Listing):
        return listing
    accepted = max(
        (o.version for o in listing.objects if o.kind in CONFIGURATION_KINDS), default=0
    )
    views = tuple(
        DataCentreView(item.name, orjson.loads(item.value))
        for item in sorted(listing.objects, key=lambda item: item.name)
        if item.kind == Kind.STATUS
    )
    return StatusView(accepted, views)


async def wait_in_force(store: ObjectStore, timeout_s: float) -> list[str]:
    """Wait until the accepted revision is in force; return who is behind."""
    ends = monotonic() + timeout_s
    wanted = None
    while True:
        view = await status(store)
        if isinstance(view, StatusView):
            wanted = wanted or view.accepted_revision
            behind = view.behind(wanted)
            if view.data_centres and not behind:
                return []
        else:
            behind = [f"object API: {view.reason}"]
        if monotonic() >= ends:
            return behind or ["no data centre has written a status"]
        await asyncio.sleep(STATUS_POLL_S)


async def explain(
    session: ClientSession, admin_url: str, service: str, key: str
) -> dict:
    """Return where a daemon sends a key's requests and why."""
    query = {"service": service, "key": key}
    async with session.get(f"{admin_url}/explain", params=query) as answer:
        return orjson.loads(await answer.read())


async def _apply_one(
    store: ObjectStore,
    manifest: Manifest,
    current: dict[tuple[str, str], StoredObject],
    dry_run: bool,
) -> ActionOutcome:
    kind, name = manifest.kind, manifest.name
    value = orjson.dumps({"spec": dump_spec(manifest)})
    found = current.get((kind, name))
    if found is not None and same_value(found.value, value):
        return Applied(kind, name, "unchanged", found.version)
    action = "created" if found is None else "changed"
    difference = describe_difference(found.value if found else b"", value)
    if dry_run:
        return Applied(kind, name, f"would be {action}", 0, difference)
    expected = found.version if found else 0
    outcome = await store.write(kind, name, value, expected)
    return await _report(store, kind, name, value, action, difference, outcome)


async def _report(
    store: ObjectStore,
    kind: str,
    name: str,
    value: bytes,
    action: str,
    difference: str,
    outcome: WriteOutcome,
) -> ActionOutcome:
    match outcome:
        case Written(version):
            return Applied(kind, name, action, version, difference)
        case WriteUnknown(reason):
            return await _read_back(store, kind, name, value, action, reason)
        case Conflict():
            stored = await store.read(kind, name)
            theirs = stored.value if isinstance(stored, StoredObject) else b""
            return Raced(kind, name, describe_difference(value, theirs))
        case Rejected(reason) | StoreUnavailable(reason):
            return Failed(kind, name, reason)


async def _read_back(
    store: ObjectStore, kind: str, name: str, value: bytes, action: str, reason: str
) -> ActionOutcome:
    """Find out whether a write whose answer was lost took effect."""
    for _ in range(READ_BACK_TRIES):
        await asyncio.sleep(READ_BACK_PAUSE_S)
        stored = await store.read(kind, name)
        if isinstance(stored, StoredObject) and same_value(stored.value, value):
            return Applied(kind, name, action, stored.version)
    return Uncertain(kind, name, reason)


def same_value(one: bytes, other: bytes) -> bool:
    """Tell whether two JSON texts hold the same value."""
    return orjson.loads(one) == orjson.loads(other)


def describe_difference(before: bytes, after: bytes) -> str:
    """Return the lines that differ between two JSON texts."""
    texts = [_indented(text).splitlines() for text in (before, after)]
    lines = difflib.unified_diff(*texts, "stored", "declared", lineterm="", n=1)
    return "\n".join(lines)


def _indented(text: bytes) -> str:
    if not text:
        return ""
    options = orjson.OPT_INDENT_2 | orjson.OPT_SORT_KEYS
    return orjson.dumps(orjson.loads(text), option=options).decode()


def _users_of(listing: Listing, kind: str, name: str) -> list[str]:
    """Return the resources that refer to one."""
    field, user_kind = {
        Kind.ROUTING_POLICY: ("policy", Kind.SERVICE),
        Kind.SERVICE: ("service", Kind.TARGET),
    }.get(kind, ("", ""))
    return [
        f"{item.kind}/{item.name}"
        for item in listing.objects
        if item.kind == user_kind
        and orjson.loads(item.value)["spec"].get(field) == name
    ]
