"""Stand-in of a Consul cluster on loopback: the API for clients that watch and register services."""
