"""Messages and stubs of the protocol between daemons."""
