"""Planned connections to servers: how many to open, which to use, when to open ahead and when to close.

Imported only where the operator's file enables it.
"""
