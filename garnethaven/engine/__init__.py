"""The engine: calls, attempts and their single answer, independent of protocol."""
