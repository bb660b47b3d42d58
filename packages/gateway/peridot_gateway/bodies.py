"""Read the bodies of callers' requests within the limits of size, memory and time."""

import asyncio
from collections.abc import AsyncIterator, Iterator
from contextlib import asynccontextmanager, contextmanager
from time import monotonic

from aiohttp import web

from peridot_gateway.uploads import (
    HELD_BYTES,
    SMALL_BODY_BYTES,
    Upload,
    answer_expectation,
)
from peridot_routing.outcomes import NotRun, Reason

# Bodies in memory at once, unless the settings say otherwise.
MAX_HELD_BYTES = 64 * 2**20
# Retry-After while that many bytes are held: large bodies take about this long.
HELD_RETRY_MS = 500


class BodyReader:
    """Read bodies, and count the bytes that are held for open requests."""

    def __init__(self, max_held_bytes: int = MAX_HELD_BYTES) -> None:
        self.max_held_bytes = max_held_bytes
        self.held_bytes = 0

    @asynccontextmanager
    async def read(
        self,
        http_request: web.BaseRequest,
        limit: int,
        deadline: float,
        repeatable: bool = True,
    ) -> AsyncIterator[bytes | Upload | NotRun]:
        """Yield a request's body, or why it wasn't read until a deadline (s).

        Its bytes count as held while the context lasts. Large bodies of requests that
        are never repeated aren't read whole.
        """
        size = http_request.content_length or 0
        if size > limit:
            yield NotRun(Reason.BODY_TOO_LARGE, detail=f"over {limit} bytes")
            return
        passed_on = size > SMALL_BODY_BYTES and not repeatable
        needed = min(size, HELD_BYTES) if passed_on else size
        if self.held_bytes + needed > self.max_held_bytes:
            yield self._refuse()
            return
        if passed_on:
            with self._hold_upload():
                yield Upload(http_request, limit)
            return
        answer_expectation(http_request)
        body = bytearray()
        try:
            found = await self._read(http_request, body, limit, deadline, repeatable)
            if not isinstance(found, Upload):
                yield found
                return
            # Its beginning is part of what an upload may hold.
            self.held_bytes -= len(body)
            body.clear()
            with self._hold_upload():
                yield found
        finally:
            self.held_bytes -= len(body)

    @contextmanager
    def _hold_upload(self) -> Iterator[None]:
        self.held_bytes += HELD_BYTES
        try:
            yield
        finally:
            self.held_bytes -= HELD_BYTES

    async def _read(
        self,
        http_request: web.BaseRequest,
        body: bytearray,
        limit: int,
        deadline: float,
        repeatable: bool,
    ) -> bytes | Upload | NotRun:
        if not http_request.can_read_body:
            return b""
        try:
            async with asyncio.timeout(max(0.0, deadline - monotonic())):
                async for chunk in http_request.content.iter_any():
                    body += chunk
                    self.held_bytes += len(chunk)
                    if len(body) > limit:
                        return NotRun(
                            Reason.BODY_TOO_LARGE, detail=f"over {limit} bytes"
                        )
                    if self.held_bytes > self.max_held_bytes:
                        return self._refuse()
                    if len(body) > SMALL_BODY_BYTES and not repeatable:
                        return Upload(http_request, limit, bytes(body))
        except TimeoutError:
            return NotRun(Reason.DEADLINE, HELD_RETRY_MS, "the body isn't complete")
        return bytes(body)

    def _refuse(self) -> NotRun:
        detail = f"{self.held_bytes} bytes of bodies in memory"
        return NotRun(Reason.OVERLOADED, HELD_RETRY_MS, detail)
