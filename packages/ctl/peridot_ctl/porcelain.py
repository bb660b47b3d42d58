"""The operators' actions, one function for each command of peridotctl."""

import asyncio
import difflib
from collections.abc import AsyncIterator, Iterable
from dataclasses import dataclass
from pathlib import Path
from time import monotonic

import orjson
from aiohttp import ClientSession

from peridot_ctl.errors import (
    ActionOutcome,
    Applied,
    Conflicted,
    Failed,
    InvalidReply,
    OutcomeUnknown,
)
from peridot_objects.objects import ObjectStore
from peridot_objects.outcomes import (
    Change,
    Conflict,
    DeletedObject,
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
from peridot_resources.findings import CheckResult, check_declarations
from peridot_resources.manifests import (
    check_references,
    read_declarations,
    read_manifests,
)
from peridot_resources.models import Manifest, dump_spec

WATCH_TIMEOUT_S = 30.0
# Pause between reads of the status, and before a watch lists again.
POLL_PERIOD_S = 0.2
READ_BACK_ATTEMPTS = 5
READ_BACK_PAUSE_S = 0.2
# Kinds that others refer to come first, so that no stored reference ever dangles.
APPLY_ORDER = (Kind.ROUTING_POLICY, Kind.SERVICE, Kind.TARGET)


@dataclass(frozen=True)
class DataCentreView:
    """A data centre and its status object as stored."""

    name: str
    status: dict


@dataclass(frozen=True)
class StatusView:
    """The newest revision of the configuration and each data centre's status."""

    accepted_revision: int
    data_centres: tuple[DataCentreView, ...]
    # Data centres with targets that have stored no status.
    without_status: tuple[str, ...] = ()

    def describe(self, item: StoredObject) -> str:
        """Return a resource's status, such as "in force, live, 12 slices".

        A resource is in force once every data centre has its version in force.
        """
        revisions = [view.status["revision_in_force"] for view in self.data_centres]
        if not revisions:
            return "unknown"
        everywhere = min(revisions) >= item.version and not self.without_status
        in_force = "in force" if everywhere else "accepted"
        for view in self.data_centres:
            target = view.status["targets"].get(item.name)
            if item.kind == Kind.TARGET and target is not None:
                return f"{in_force}, {target['state']}, {target['owned_slices']} slices"
        return in_force

    def outdated(self, revision: int) -> list[str]:
        """Return the VMs whose revision in force is older than a revision.

        Data centres without a status are among them, as theirs isn't known.
        """
        outdated_vms = [
            f"{view.name}/{vm} at {vm_revision}"
            for view in self.data_centres
            for vm, vm_revision in view.status["vm_revisions"].items()
            if vm_revision < revision
        ]
        silent = [f"{name} has written no status" for name in self.without_status]
        return outdated_vms + silent


def validate(files: Iterable[Path]) -> list[Manifest]:
    """Return the manifests in files; raise InvalidManifests."""
    return read_manifests(files)


async def check(
    store: ObjectStore, files: Iterable[Path], against: bool
) -> tuple[CheckResult, StoreUnavailable | None]:
    """Return what a check of files finds, by themselves or against the stored state.

    If the stored state can't be read, the files are checked by themselves.
    """
    declarations, errors = read_declarations(files)
    if not against:
        return check_declarations(declarations, errors), None
    listing = await store.list(sorted(CONFIGURATION_KINDS))
    if isinstance(listing, Listing) and listing.unreadable:
        listing = StoreUnavailable("; ".join(listing.unreadable))
    if not isinstance(listing, Listing):
        return check_declarations(declarations, errors), listing
    stored = {(o.kind, o.name): orjson.loads(o.value) for o in listing.objects}
    return check_declarations(declarations, errors, stored), None


async def apply(
    store: ObjectStore, files: Iterable[Path], dry_run: bool = False
) -> list[ActionOutcome]:
    """Store the resources that files declare; raise InvalidManifests before a write."""
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
    """Remove a resource unless another refers to it."""
    listing = await store.list(sorted(CONFIGURATION_KINDS))
    if not isinstance(listing, Listing):
        return Failed(kind, name, listing.reason)
    referrers = _find_referrers(listing, kind, name)
    if referrers:
        return Failed(kind, name, f"still used by {', '.join(referrers)}")
    found = [o for o in listing.objects if (o.kind, o.name) == (kind, name)]
    if not found:
        return Failed(kind, name, "does not exist")
    outcome = await store.delete(kind, name, found[0].version)
    match outcome:
        case Written(version):
            return Applied(kind, name, "deleted", version)
        case Conflict(version):
            return Conflicted(kind, name, f"changed concurrently, now at {version}")
        case WriteUnknown(reason):
            return OutcomeUnknown(kind, name, reason)
        case Rejected(reason) | StoreUnavailable(reason):
            return Failed(kind, name, reason)


async def watch(store: ObjectStore, kinds: Iterable[str]) -> AsyncIterator[Change]:
    """Yield the stored resources, then each change; list again after a failure.

    Deletions that no watch has shown are yielded after the next listing, whose
    revision they get.
    """
    kinds = tuple(kinds)
    revision = -1
    known: dict[tuple[str, str], StoredObject] = {}
    while True:
        if revision < 0:
            listing = await store.list(kinds)
            if isinstance(listing, Listing):
                for change in (*listing.objects, *_find_deletions(known, listing)):
                    _record_change(known, change)
                    yield change
                revision = listing.revision
        else:
            batch = await store.watch(kinds, revision, WATCH_TIMEOUT_S)
            if isinstance(batch, WatchBatch):
                for change in batch.changes:
                    _record_change(known, change)
                    yield change
                revision = batch.revision
                continue
            revision = -1
        await asyncio.sleep(POLL_PERIOD_S)


async def status(store: ObjectStore) -> StatusView | StoreUnavailable:
    """Return the accepted revision and the status that each data centre has stored."""
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
    expected = {
        _find_data_centre(item) for item in listing.objects if item.kind == Kind.TARGET
    }
    missing = expected - {view.name for view in views} - {""}
    return StatusView(accepted, views, tuple(sorted(missing)))


async def wait_in_force(store: ObjectStore, timeout_s: float) -> list[str]:
    """Wait until the accepted revision is in force; return what keeps it from that.

    Returns an empty list on success, otherwise the VMs that are behind after
    `timeout_s` and the data centres without a status, or why the status is unknown.
    """
    deadline = monotonic() + timeout_s
    awaited_revision = None
    while True:
        view = await status(store)
        if isinstance(view, StatusView):
            awaited_revision = awaited_revision or view.accepted_revision
            behind = view.outdated(awaited_revision)
            if view.data_centres and not behind:
                return []
        else:
            behind = [f"object API: {view.reason}"]
        if monotonic() >= deadline:
            return behind or ["no data centre has written a status"]
        await asyncio.sleep(POLL_PERIOD_S)


async def explain(
    session: ClientSession, admin_url: str, service: str, key: str
) -> dict:
    """Return where a daemon sends a key's requests, and why; raise InvalidReply."""
    query = {"service": service, "key": key}
    async with session.get(f"{admin_url}/explain", params=query) as response:
        source = f"no explanation from {admin_url} (status {response.status})"
        try:
            reply = orjson.loads(await response.read())
        except ValueError as error:
            raise InvalidReply(f"{source}: {error}") from error
    if not isinstance(reply, dict):
        raise InvalidReply(f"{source}: not a JSON object")
    return reply


async def _apply_one(
    store: ObjectStore,
    manifest: Manifest,
    current: dict[tuple[str, str], StoredObject],
    dry_run: bool,
) -> ActionOutcome:
    kind, name = manifest.kind, manifest.name
    value = orjson.dumps({"spec": dump_spec(manifest)})
    stored = current.get((kind, name))
    if stored is not None and is_same_json(stored.value, value):
        return Applied(kind, name, "unchanged", stored.version)
    action = "created" if stored is None else "changed"
    difference = format_diff(stored.value if stored else b"", value)
    if dry_run:
        return Applied(kind, name, f"would be {action}", 0, difference)
    expected = stored.version if stored else 0
    outcome = await store.write(kind, name, value, expected)
    return await _resolve_write_outcome(
        store, kind, name, value, action, difference, outcome
    )


async def _resolve_write_outcome(
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
            stored_value = stored.value if isinstance(stored, StoredObject) else b""
            return Conflicted(kind, name, format_diff(value, stored_value))
        case Rejected(reason) | StoreUnavailable(reason):
            return Failed(kind, name, reason)


async def _read_back(
    store: ObjectStore, kind: str, name: str, value: bytes, action: str, reason: str
) -> ActionOutcome:
    """Read an object back to find out whether a write took effect."""
    for _ in range(READ_BACK_ATTEMPTS):
        await asyncio.sleep(READ_BACK_PAUSE_S)
        stored = await store.read(kind, name)
        if isinstance(stored, StoredObject) and is_same_json(stored.value, value):
            return Applied(kind, name, action, stored.version)
    return OutcomeUnknown(kind, name, reason)


def _find_deletions(
    known: dict[tuple[str, str], StoredObject], listing: Listing
) -> list[DeletedObject]:
    """Return deletions of the known resources that a listing lacks."""
    listed = {(item.kind, item.name) for item in listing.objects}
    return [
        DeletedObject(item.kind, item.name, listing.revision)
        for key, item in known.items()
        if key not in listed and item.version <= listing.revision
    ]


def _record_change(known: dict[tuple[str, str], StoredObject], change: Change) -> None:
    """Apply a change to the known resources."""
    if isinstance(change, StoredObject):
        known[change.kind, change.name] = change
    else:
        known.pop((change.kind, change.name), None)


def _find_data_centre(target: StoredObject) -> str:
    """Return the data centre of a stored target, "" if the target is invalid.

    Daemons report invalid objects by a condition of their own.
    """
    try:
        return str(orjson.loads(target.value)["spec"]["dataCentre"])
    except (ValueError, KeyError, TypeError):
        return ""


def is_same_json(first: bytes, second: bytes) -> bool:
    """Return whether two JSON texts have the same value."""
    return orjson.loads(first) == orjson.loads(second)


def format_diff(before: bytes, after: bytes) -> str:
    """Return a unified diff of two JSON texts, indented and with sorted keys."""
    texts = [_format_indented(text).splitlines() for text in (before, after)]
    lines = difflib.unified_diff(*texts, "stored", "declared", lineterm="", n=1)
    return "\n".join(lines)


def _format_indented(text: bytes) -> str:
    if not text:
        return ""
    options = orjson.OPT_INDENT_2 | orjson.OPT_SORT_KEYS
    return orjson.dumps(orjson.loads(text), option=options).decode()


def _find_referrers(listing: Listing, kind: str, name: str) -> list[str]:
    """Return the resources that refer to a resource."""
    field, referrer_kind = {
        Kind.ROUTING_POLICY: ("policy", Kind.SERVICE),
        Kind.SERVICE: ("service", Kind.TARGET),
    }.get(kind, ("", ""))
    return [
        f"{item.kind}/{item.name}"
        for item in listing.objects
        if item.kind == referrer_kind
        and orjson.loads(item.value)["spec"].get(field) == name
    ]
