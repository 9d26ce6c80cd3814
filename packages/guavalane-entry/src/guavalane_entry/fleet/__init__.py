"""VMs: planning, orders to the cloud API, and notices."""
