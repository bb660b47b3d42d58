"""The daemon peridotd: each VM forwards requests to the fronts of targets."""
