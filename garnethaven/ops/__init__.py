"""Day-to-day operation: the operators' address, metrics, cordons, and state shared by two processes."""
