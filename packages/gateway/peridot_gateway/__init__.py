"""The daemon for targets that enforce holds: each VM sends to them itself."""
