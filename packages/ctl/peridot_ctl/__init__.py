"""The command line peridotctl."""
