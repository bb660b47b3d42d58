"""Decisions under load, without network and without a clock."""
