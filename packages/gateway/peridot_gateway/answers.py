"""Answers: read bodies whole, within bounds for each and for all."""

from dataclasses import dataclass

from aiohttp import ClientResponse

# Far above any answer of the operators' services (30 KB), far below a VM's memory.
MAX_ANSWER_BYTES = 4 * 2**20
# All answers that are being read together: a sixth of the smallest VM's 200 MB.
HELD_BYTES = 32 * 2**20
# While they hold more, answers up to this size are still read: most are smaller.
SMALL_ANSWER_BYTES = 64 * 2**10
# Targets' answers have some ten headers of up to a hundred bytes.
MAX_HEADER_LINE_BYTES = 8 * 2**10
MAX_HEADERS = 128


@dataclass
class Answers:
    """Count the bytes of answers that are being read."""

    held: int = 0

    async def read(self, answer: ClientResponse) -> bytes | None:
        """Return a whole body, None if it is too large."""
        if (answer.content_length or 0) > MAX_ANSWER_BYTES:
            return None
        parts: list[bytes] = []
        size = 0
        try:
            async for part in answer.content.iter_any():
                size += len(part)
                self.held += len(part)
                if self._is_too_large(size):
                    return None
                parts.append(part)
        finally:
            self.held -= size
        return b"".join(parts)

    def _is_too_large(self, size: int) -> bool:
        if size > MAX_ANSWER_BYTES:
            return True
        return self.held > HELD_BYTES and size > SMALL_ANSWER_BYTES
