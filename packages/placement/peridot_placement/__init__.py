"""Placement of hash slices in peridotd: tables, terms, permits and grants."""
