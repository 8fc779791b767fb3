"""Decisions for a dispatcher that sits beside a submitter and pushes jobs to workers."""

from hazellead.decide.dispatcher import Dispatcher

__all__ = ["Dispatcher"]
