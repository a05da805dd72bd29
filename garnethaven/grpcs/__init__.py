"""gRPC on the same core: an HTTP/2 front and transport. Messages pass as bytes and are never parsed.

Imported only where the operator's file switches it on; it needs requirements-grpc.txt.
"""
