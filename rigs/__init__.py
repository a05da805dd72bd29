"""Fault scripts that run on loopback against the real program: `python -m rigs NAME --seed N --json`."""
