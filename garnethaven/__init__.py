"""garnethaven: the decision module of a load-balancing sidecar, a library without clock or I/O."""

from garnethaven.brain import Balancer

__all__ = ["Balancer"]
