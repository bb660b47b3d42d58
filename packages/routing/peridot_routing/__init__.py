"""Request routing of peridotd: matching, attempts, limits and outcomes."""
