"""How the memory of a VM is divided between the bytes that it holds for others."""

from dataclasses import dataclass

MIB = 2**20
# What the program uses itself (MiB): measured on the operators' VMs.
PROGRAM_MB = 90.0
# Kept free for connections, and for aiohttp's buffers beside those counted here (MiB).
RESERVE_MB = 10.0
# Shares from this free memory (MiB) on; VMs with less have proportionally less. It is
# that of a VM with 200 MB.
FULL_FREE_MB = 110.0
FULL_BODIES_MB = 64.0
FULL_RESPONSES_MB = 16.0
# More doesn't help: a caller at 5 Mbit/s takes 0.9 s for the largest download, 540 KB.
MAX_STREAMS_MB = 64.0
# A VM whose limit is too small or no number still gets this much (MiB).
MIN_FREE_MB = 32.0


@dataclass(frozen=True)
class MemoryLimits:
    """Bytes that a VM holds at most, by what they are for."""

    # Bodies of callers' requests.
    body_bytes: int
    # Responses that are read whole.
    response_bytes: int
    # Responses that are passed on while they arrive.
    stream_bytes: int


def divide_memory(memory_mb: float) -> MemoryLimits:
    """Return the limits for a VM with a memory limit of the process (MiB)."""
    # Also bounds infinity and what isn't a number.
    free_mb = memory_mb - PROGRAM_MB if memory_mb < 2**20 else FULL_FREE_MB
    free_mb = max(MIN_FREE_MB, free_mb)
    scale = min(1.0, free_mb / FULL_FREE_MB)
    bodies_mb = FULL_BODIES_MB * scale
    responses_mb = FULL_RESPONSES_MB * scale
    streams_mb = free_mb - bodies_mb - responses_mb - RESERVE_MB * scale
    return MemoryLimits(
        int(bodies_mb * MIB),
        int(responses_mb * MIB),
        int(min(MAX_STREAMS_MB, streams_mb) * MIB),
    )
