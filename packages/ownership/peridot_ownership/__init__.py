"""Ownership of numeric key ranges by targets that enforce holds."""
