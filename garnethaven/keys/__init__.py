"""Certificates and keys: how long they hold, who is a peer, rotation without a dropped connection.

Imported only where a table names a certificate, and by the command `certs`.
"""
