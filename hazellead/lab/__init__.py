"""The laboratory: models of workers, clients and lists that drive real schedulers.

In virtual time or on loopback. Nothing here is imported by a scheduler. Seeds decide everything.
"""
