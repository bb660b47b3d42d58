"""The peridotctl command-line tool."""
