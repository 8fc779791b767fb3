"""Byte streams, HTTP/1.1 and accepting of connections."""
