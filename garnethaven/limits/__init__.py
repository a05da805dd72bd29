"""Limits: budgets of connections and memory, freshness of server lists, retry budget, and overload control.

Each decision module reads no clock and does no I/O; its docstring explains the model.
"""
