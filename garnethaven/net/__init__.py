"""The real sidecar: sockets round the decision module."""
