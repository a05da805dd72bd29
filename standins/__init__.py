"""Stand-ins of outside systems on loopback, following their public protocols, for tests, rigs and the demo.

They count events on their own sockets and never read the metrics of the program under test.
"""
