"""Fleet-wide rate limits for tenants, with each sidecar deciding on its own requests."""
