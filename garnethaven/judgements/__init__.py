"""Shared outlier detection: members exchange evidence on endpoints, not verdicts, and combine it."""
