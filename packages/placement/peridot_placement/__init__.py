"""Ownership of slices: tables, terms, permits and grants."""
