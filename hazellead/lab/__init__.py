"""The laboratory: models of workers, clients and lists of workers that drive real schedulers.

Runs are in virtual time or on loopback; those in virtual time are determined by their seeds. No scheduler
imports this package.
"""
