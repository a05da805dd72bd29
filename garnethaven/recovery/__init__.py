"""Restart recovery: limits for a sidecar that has just started, and evidence that lifts them."""
