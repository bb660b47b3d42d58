"""Clients of the platform's object API (both modes) and VM list (peridotd)."""
