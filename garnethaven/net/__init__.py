"""HTTP/1.1 on sockets: client connections, connections to endpoints, and the transport between them."""
