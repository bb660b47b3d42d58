"""Read whole response bodies, with limits for each and for all together."""

from dataclasses import dataclass

from aiohttp import ClientResponse

# Bodies that are read whole: failures, and others whose length is small or unproven.
MAX_RESPONSE_BYTES = 4 * 2**20
# Bodies that are passed on while they arrive: as large as the requests that callers may
# send at the operators' sites. Little of them is in memory; endless ones must end.
MAX_STREAM_BYTES = 64 * 2**20
# All bodies that are being read, unless the settings say otherwise.
MAX_BUFFERED_BYTES = 32 * 2**20
# Above that limit, bodies up to this size are still read: most are smaller.
SMALL_RESPONSE_BYTES = 64 * 2**10
# Targets' responses have some ten headers of up to a hundred bytes.
MAX_HEADER_LINE_BYTES = 8 * 2**10
MAX_HEADERS = 128


@dataclass
class ResponseReader:
    """Read bodies and limit the bytes that are buffered in total."""

    buffered_bytes: int = 0
    max_buffered_bytes: int = MAX_BUFFERED_BYTES

    async def read(self, response: ClientResponse) -> bytes | None:
        """Return a whole body, None if it is too large."""
        if (response.content_length or 0) > MAX_RESPONSE_BYTES:
            return None
        chunks: list[bytes] = []
        size = 0
        try:
            async for chunk in response.content.iter_any():
                size += len(chunk)
                self.buffered_bytes += len(chunk)
                if self._is_too_large(size):
                    return None
                chunks.append(chunk)
        finally:
            self.buffered_bytes -= size
        return b"".join(chunks)

    def _is_too_large(self, size: int) -> bool:
        if size > MAX_RESPONSE_BYTES:
            return True
        return (
            self.buffered_bytes > self.max_buffered_bytes
            and size > SMALL_RESPONSE_BYTES
        )
