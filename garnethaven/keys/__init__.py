"""Certificates and keys: validity periods, peer names, rotation without dropping connections.

Imported only if a settings table names a certificate, and by the command `certs`.
"""
