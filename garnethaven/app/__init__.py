"""Assembles the program from its parts; no other package imports this one."""
