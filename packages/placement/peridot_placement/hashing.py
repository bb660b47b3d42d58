"""Hashes of keys, and rendezvous hashing to choose VMs."""

from collections.abc import Iterable

from xxhash import xxh64_intdigest

HASH_SPACE = 1 << 64


def hash_key(key: str) -> int:
    """Return the position of a key in the hash space."""
    return xxh64_intdigest(key.encode())


def rank_by_rendezvous(names: Iterable[str], subject: str) -> list[str]:
    """Return the names by their rendezvous weight for a subject, highest first."""
    return sorted(
        names,
        key=lambda name: (xxh64_intdigest(f"{name}\0{subject}".encode()), name),
        reverse=True,
    )
