"""gRPC on the shared engine: an HTTP/2 front and transport. Messages pass through as bytes, never parsed.

Imported only if the operator's file enables it; needs requirements-grpc.txt.
"""
