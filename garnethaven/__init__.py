"""garnethaven: the decisions of a sidecar balancer, as a library without clock or I/O."""

from garnethaven.brain import Balancer

__all__ = ["Balancer"]
