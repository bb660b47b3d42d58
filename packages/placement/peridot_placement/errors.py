"""Errors of the placement layer."""


class InvariantViolation(AssertionError):
    """Report that an invariant of ownership doesn't hold."""


class ViolationCounter:
    """Count broken invariants of this process."""

    total = 0


def check_invariant(holds: bool, name: str, detail: str) -> None:
    """Count and raise InvariantViolation unless an invariant holds."""
    if not holds:
        ViolationCounter.total += 1
        raise InvariantViolation(f"{name}: {detail}")
