"""Connections to servers: how many, which one, ahead of need, and closed before they die.

Imported only where the operator's file switches it on.
"""
