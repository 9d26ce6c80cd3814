"""Fleet planning, calls to the cloud API, VM list and reclaim notices."""
