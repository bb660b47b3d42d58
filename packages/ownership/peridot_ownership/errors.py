"""Errors of the ownership of key ranges (gateway mode)."""


class OwnershipError(Exception):
    """Base class of this package's errors."""


class InvalidRecord(OwnershipError):
    """The stored placement record can't be parsed."""


class TermLost(OwnershipError):
    """Another daemon holds the term, or the term can't be confirmed or go on."""
