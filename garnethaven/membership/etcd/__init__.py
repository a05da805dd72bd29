"""Discovery of servers from an etcd cluster, over its published gRPC API."""
