"""Development stand-ins for the platform and for targets."""
