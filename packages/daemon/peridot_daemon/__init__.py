"""The daemon peridotd."""
