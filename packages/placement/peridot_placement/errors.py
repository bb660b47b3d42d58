"""Errors of the placement layer."""


class InvariantViolation(AssertionError):
    """Report that an invariant of ownership doesn't hold."""


def check_invariant(holds: bool, name: str, detail: str) -> None:
    """Raise InvariantViolation unless an invariant holds."""
    if not holds:
        raise InvariantViolation(f"{name}: {detail}")
