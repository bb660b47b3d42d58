"""Bodies of requests that are passed to the target while they arrive."""

from collections.abc import AsyncIterator

from aiohttp import web
from aiohttp.http import HttpVersion11

from peridot_routing.outcomes import Outcome, Reason, Unknown

# Larger bodies are passed on while they arrive.
SMALL_BODY_BYTES = 64 * 2**10
# aiohttp stops reading a caller's connection at twice this size. Small bodies fit, so
# that they aren't paused.
READ_BUFFER_BYTES = 32 * 2**10
# Size of the pieces in which bytes are written to targets.
PIECE_BYTES = 32 * 2**10
# What a VM holds at most for a body that is passed on: aiohttp's buffers for both
# connections.
HELD_BYTES = 320 * 2**10


class Upload:
    """A body that is passed to one target, with backpressure; it can't be repeated."""

    def __init__(
        self, http_request: web.BaseRequest, limit: int, beginning: bytes = b""
    ) -> None:
        self.http_request = http_request
        self.length = http_request.content_length
        self.limit = limit
        # What has been read before a target was chosen.
        self.beginning = beginning
        # Whether a target may have got a part, and whether all has been read for it.
        self.taken = False
        self.complete = False
        # Whether the target waited for the caller at last, and how the caller failed.
        self.starved = False
        self.failed: Reason | None = None

    async def pieces(self) -> AsyncIterator[bytes]:
        """Yield the body; a caller that waits for permission to send it gets that."""
        self.taken = True
        answer_expectation(self.http_request)
        size = len(self.beginning)
        if self.beginning:
            yield self.beginning
            self.beginning = b""
        while piece := await self._read():
            size += len(piece)
            if size > self.limit:
                self.failed = Reason.BODY_TOO_LARGE
                raise ValueError(f"body over {self.limit} bytes")
            yield piece
        self.complete = True

    async def _read(self) -> bytes:
        self.starved = True
        try:
            piece = await self.http_request.content.read(PIECE_BYTES)
        except Exception:
            # The caller's connection has ended before the body.
            self.failed = Reason.CANCELLED
            raise
        self.starved = False
        return piece

    def find_fault(self, outcome: Outcome) -> Unknown | None:
        """Return the outcome of an attempt if the caller didn't send its body.

        Such an attempt says nothing about its target.
        """
        if not isinstance(outcome, Unknown):
            return None
        reason = self.failed
        if outcome.reason is Reason.DEADLINE and self.starved:
            reason = Reason.DEADLINE
        if reason is None:
            return None
        return Unknown(reason, "the caller's body isn't complete")


def answer_expectation(http_request: web.BaseRequest) -> None:
    """Tell a caller that waits for it (Expect: 100-continue) to send the body."""
    if is_expecting(http_request) and http_request.transport is not None:
        http_request.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")


def is_expecting(http_request: web.BaseRequest) -> bool:
    """Return whether a caller asked whether to send a body that isn't complete."""
    return (
        http_request.headers.get("Expect", "").lower() == "100-continue"
        and http_request.version >= HttpVersion11
        and not http_request.content.is_eof()
    )
