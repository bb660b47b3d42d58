"""Access to the platform: object API and VM list."""
