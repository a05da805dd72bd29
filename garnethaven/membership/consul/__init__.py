"""Discovery of servers from a Consul catalog or key-value store, by blocking queries over HTTP."""
