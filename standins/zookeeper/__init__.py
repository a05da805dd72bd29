"""A ZooKeeper ensemble in play: the published client protocol over one shared tree, with scripted faults."""
