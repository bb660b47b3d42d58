"""Errors of the placement layer."""


class InvariantViolation(AssertionError):
    """Raised when an invariant of ownership doesn't hold."""


class ViolationCounter:
    """Count the invariant violations in this process."""

    total = 0


def check_invariant(holds: bool, name: str, detail: str) -> None:
    """Count a violation and raise InvariantViolation unless `holds` is true."""
    if not holds:
        ViolationCounter.total += 1
        raise InvariantViolation(f"{name}: {detail}")
