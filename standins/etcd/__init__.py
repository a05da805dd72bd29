"""Stand-in of an etcd cluster on loopback: the API for clients that watch and register services."""
