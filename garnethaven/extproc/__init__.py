"""External processor: a proxy calls it once per request and gets one decision (`ext_proc` v3 over gRPC).

Imported only if the operator's file enables it. tokens.py and mapping.py do no I/O.
"""
