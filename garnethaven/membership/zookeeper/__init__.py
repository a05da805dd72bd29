"""A registry of ephemeral nodes, over the ZooKeeper protocol."""
