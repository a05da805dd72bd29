"""Replicated state with one writer per row, and the maximum age of each row at each reader."""
