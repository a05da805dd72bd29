"""Stand-in of a ZooKeeper ensemble: the public client protocol over one shared tree, with scripted faults."""
