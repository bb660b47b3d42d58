"""Client of the object API over HTTP."""

from collections.abc import AsyncIterator, Collection
from contextlib import asynccontextmanager
from functools import partial

import orjson
from aiohttp import (
    ClientConnectorError,
    ClientError,
    ClientResponse,
    ClientSession,
    ClientTimeout,
)

from peridot_objects.codec import MAX_VERSION, parse_change
from peridot_objects.documents import (
    PARSE_ERRORS,
    load_document,
    parse_items,
    parse_revision,
)
from peridot_objects.objects import ObjectStore
from peridot_objects.outcomes import (
    Conflict,
    Listing,
    ListOutcome,
    Missing,
    ReadOutcome,
    Rejected,
    RevisionTooOld,
    StoreUnavailable,
    WatchBatch,
    WatchOutcome,
    WriteOutcome,
    WriteUnknown,
    Written,
)

CALL_TIMEOUT_S = 2.0
# Added to the timeout of a watch, for the response that ends it.
WATCH_MARGIN_S = 2.0
CALL_ERRORS = (ClientError, TimeoutError, OSError, *PARSE_ERRORS)


class HttpObjectStore(ObjectStore):
    """An object store that calls the platform's object API."""

    def __init__(self, session: ClientSession, url: str) -> None:
        self.session = session
        self.url = url.rstrip("/")

    async def list(self, kinds: Collection[str]) -> ListOutcome:
        try:
            async with self._call("GET", "/objects", _kinds_query(kinds)) as response:
                if response.status != 200:
                    return StoreUnavailable(f"status {response.status}")
                data = load_document(await response.read())
                revision = parse_revision(data["revision"], MAX_VERSION)
                found = parse_items(
                    data["objects"], partial(parse_change, limit=revision)
                )
        except CALL_ERRORS as error:
            return StoreUnavailable(repr(error))
        listing = Listing(revision, found.items, found.reasons)
        return await self.confirm_listing(listing) if found.ambiguous else listing

    async def read(self, kind: str, name: str) -> ReadOutcome:
        try:
            async with self._call("GET", f"/objects/{kind}/{name}") as response:
                if response.status == 404:
                    return Missing()
                if response.status != 200:
                    return StoreUnavailable(f"status {response.status}")
                return parse_change(load_document(await response.read()))
        except CALL_ERRORS as error:
            return StoreUnavailable(repr(error))

    async def write(
        self, kind: str, name: str, value: bytes, expected: int | None
    ) -> WriteOutcome:
        return await self._send_change("PUT", kind, name, expected, value)

    async def delete(self, kind: str, name: str, expected: int | None) -> WriteOutcome:
        return await self._send_change("DELETE", kind, name, expected, None)

    async def watch(
        self, kinds: Collection[str], since: int, timeout_s: float
    ) -> WatchOutcome:
        query = _kinds_query(kinds) | {
            "since": str(since),
            "timeout_ms": str(int(timeout_s * 1000)),
        }
        limit = timeout_s + WATCH_MARGIN_S
        try:
            async with self._call("GET", "/watch", query, timeout_s=limit) as response:
                if response.status == 410:
                    return RevisionTooOld()
                if response.status != 200:
                    return StoreUnavailable(f"status {response.status}")
                data = load_document(await response.read())
                revision = parse_revision(data["revision"], MAX_VERSION)
                found = parse_items(
                    data["changes"], partial(parse_change, limit=revision)
                )
                if found.ambiguous:
                    return RevisionTooOld()
                return WatchBatch(revision, found.items, found.reasons)
        except CALL_ERRORS as error:
            return StoreUnavailable(repr(error))

    async def _send_change(
        self, method: str, kind: str, name: str, expected: int | None, body
    ) -> WriteOutcome:
        headers = {} if expected is None else {"If-Match": f'"{expected}"'}
        path = f"/objects/{kind}/{name}"
        try:
            async with self._call(method, path, headers=headers, body=body) as response:
                return await _write_outcome(response)
        except ClientConnectorError as error:
            return StoreUnavailable(repr(error))
        except CALL_ERRORS as error:
            return WriteUnknown(repr(error))

    @asynccontextmanager
    async def _call(
        self,
        method: str,
        path: str,
        query: dict[str, str] | None = None,
        *,
        headers: dict[str, str] | None = None,
        body: bytes | None = None,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> AsyncIterator[ClientResponse]:
        async with self.session.request(
            method,
            self.url + path,
            params=query,
            headers=headers,
            data=body,
            timeout=ClientTimeout(total=timeout_s),
        ) as response:
            yield response


async def _write_outcome(response: ClientResponse) -> WriteOutcome:
    if response.status == 503:
        return StoreUnavailable("status 503")
    data = orjson.loads(await response.read())
    match response.status:
        case 200:
            return Written(data["version"])
        case 409:
            return Conflict(data["version"])
        case 400 | 413:
            return Rejected(data["reason"])
    return WriteUnknown(f"status {response.status}")


def _kinds_query(kinds: Collection[str]) -> dict[str, str]:
    return {"kinds": ",".join(sorted(kinds))}
