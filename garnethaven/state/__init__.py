"""State that outlives a process: saved every few seconds and restored at a start as far as it is still valid.

Imported only if the operator's file enables it.
"""
