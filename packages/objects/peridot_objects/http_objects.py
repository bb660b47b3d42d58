"""Object API over HTTP."""

from collections.abc import AsyncIterator, Collection
from contextlib import asynccontextmanager

import orjson
from aiohttp import (
    ClientConnectorError,
    ClientError,
    ClientResponse,
    ClientSession,
    ClientTimeout,
)

from peridot_objects.codec import parse_change
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
WATCH_MARGIN_S = 2.0
CALL_ERRORS = (ClientError, TimeoutError, OSError, ValueError, KeyError)


class HttpObjectStore(ObjectStore):
    """Call the platform's object API."""

    def __init__(self, session: ClientSession, url: str) -> None:
        self.session = session
        self.url = url.rstrip("/")

    async def list(self, kinds: Collection[str]) -> ListOutcome:
        try:
            async with self._call("GET", "/objects", _kinds(kinds)) as answer:
                if answer.status != 200:
                    return StoreUnavailable(f"status {answer.status}")
                form = orjson.loads(await answer.read())
                objects = tuple(parse_change(item) for item in form["objects"])
                return Listing(form["revision"], objects)
        except CALL_ERRORS as error:
            return StoreUnavailable(repr(error))

    async def read(self, kind: str, name: str) -> ReadOutcome:
        try:
            async with self._call("GET", f"/objects/{kind}/{name}") as answer:
                if answer.status == 404:
                    return Missing()
                if answer.status != 200:
                    return StoreUnavailable(f"status {answer.status}")
                return parse_change(orjson.loads(await answer.read()))
        except CALL_ERRORS as error:
            return StoreUnavailable(repr(error))

    async def write(
        self, kind: str, name: str, value: bytes, expected: int | None
    ) -> WriteOutcome:
        return await self._change("PUT", kind, name, expected, value)

    async def delete(self, kind: str, name: str, expected: int | None) -> WriteOutcome:
        return await self._change("DELETE", kind, name, expected, None)

    async def watch(
        self, kinds: Collection[str], since: int, timeout_s: float
    ) -> WatchOutcome:
        query = _kinds(kinds) | {
            "since": str(since),
            "timeout_ms": str(int(timeout_s * 1000)),
        }
        limit = timeout_s + WATCH_MARGIN_S
        try:
            async with self._call("GET", "/watch", query, timeout_s=limit) as answer:
                if answer.status == 410:
                    return RevisionTooOld()
                if answer.status != 200:
                    return StoreUnavailable(f"status {answer.status}")
                form = orjson.loads(await answer.read())
                changes = tuple(parse_change(item) for item in form["changes"])
                return WatchBatch(form["revision"], changes)
        except CALL_ERRORS as error:
            return StoreUnavailable(repr(error))

    async def _change(
        self, method: str, kind: str, name: str, expected: int | None, body
    ) -> WriteOutcome:
        headers = {} if expected is None else {"If-Match": f'"{expected}"'}
        path = f"/objects/{kind}/{name}"
        try:
            async with self._call(method, path, headers=headers, body=body) as answer:
                return await _write_outcome(answer)
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
        ) as answer:
            yield answer


async def _write_outcome(answer: ClientResponse) -> WriteOutcome:
    if answer.status == 503:
        return StoreUnavailable("status 503")
    form = orjson.loads(await answer.read())
    match answer.status:
        case 200:
            return Written(form["version"])
        case 409:
            return Conflict(form["version"])
        case 400 | 413:
            return Rejected(form["reason"])
    return WriteUnknown(f"status {answer.status}")


def _kinds(kinds: Collection[str]) -> dict[str, str]:
    return {"kinds": ",".join(sorted(kinds))}
