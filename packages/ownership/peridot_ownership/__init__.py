"""Ownership of numeric key ranges (gateway mode): placer, leases and plans."""
