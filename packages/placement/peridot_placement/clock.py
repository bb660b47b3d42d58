"""Clock that counts time asleep, for leases."""

from time import CLOCK_BOOTTIME, clock_gettime

# Two clocks drift apart by at most this share over a lease.
MAX_DRIFT = 0.01


def boot_time() -> float:
    """Return seconds since boot, time asleep included."""
    return clock_gettime(CLOCK_BOOTTIME)


def with_drift(seconds: float) -> float:
    """Return how long to wait so that another clock has counted the seconds."""
    return seconds * (1 + MAX_DRIFT)
