"""Errors of ownership."""


class OwnershipError(Exception):
    """Report a fault in ownership."""


class InvalidRecord(OwnershipError):
    """Report a stored record that can't be read."""


class TermLost(OwnershipError):
    """Report that the term is held by another daemon, or can't be confirmed."""
