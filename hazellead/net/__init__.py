"""Byte streams and HTTP/1.1, for whatever stands on them."""
