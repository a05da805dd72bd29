"""Discovery of servers through ephemeral nodes, over the ZooKeeper client protocol."""
