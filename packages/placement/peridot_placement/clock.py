"""The boot clock, which leases use because it also counts suspended time."""

from time import CLOCK_BOOTTIME, clock_gettime

# Upper bound on how far two clocks drift apart, as a share of the elapsed time.
MAX_CLOCK_DRIFT = 0.01


def boot_time() -> float:
    """Return the seconds since boot, including suspended time."""
    return clock_gettime(CLOCK_BOOTTIME)


def add_drift_margin(seconds: float) -> float:
    """Return the wait (s) after which any other clock has counted `seconds`."""
    return seconds * (1 + MAX_CLOCK_DRIFT)
