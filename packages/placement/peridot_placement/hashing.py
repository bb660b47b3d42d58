"""Hashes of keys and the choice of VMs by rendezvous hashing."""

from collections.abc import Iterable

from xxhash import xxh64_intdigest

HASH_SPACE = 1 << 64


def hash_key(key: str) -> int:
    """Return the position of a key in the hash space."""
    return xxh64_intdigest(key.encode())


def rank_by_rendezvous(names: Iterable[str], subject: str) -> list[str]:
    """Return the names ordered by their weight for a subject, highest first."""
    return sorted(
        names,
        key=lambda name: (xxh64_intdigest(f"{name}\0{subject}".encode()), name),
        reverse=True,
    )
