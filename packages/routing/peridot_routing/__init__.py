"""Requests: matching, attempts, limits and outcomes."""
