"""The list of servers: from discovery, and from registries, which are imported only if enabled."""
