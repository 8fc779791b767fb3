"""Byte streams and HTTP/1.1 servers and clients, shared by all protocols."""
