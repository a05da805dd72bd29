"""Daily running: the operators' address, figures, endpoints out by hand, and what two processes share."""
