"""The gateway: a daemon whose VMs send to targets themselves, by key leases."""
