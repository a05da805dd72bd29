"""Who the servers are, from any number of sources: one model, and a source that follows ephemeral nodes.

Imported only where the operator's file switches it on.
"""
