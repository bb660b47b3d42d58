"""Versions of objects that keep rising when a store is restored from a backup.

A restored store issues revisions again that it had issued before. A version combines
the store's era, the number of restores, with a revision of that era.
"""

REVISION_BITS = 40
MAX_REVISION = (1 << REVISION_BITS) - 1


def compose_version(era: int, revision: int) -> int:
    """Return the version of a revision in an era; era 0 keeps revisions as they are."""
    return era << REVISION_BITS | revision


def version_era(version: int) -> int:
    """Return the era of a version."""
    return version >> REVISION_BITS


def version_revision(version: int) -> int:
    """Return the revision of a version within its era."""
    return version & MAX_REVISION
