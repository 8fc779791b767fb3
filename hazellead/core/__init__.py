"""Requests, attempts and outcomes: carries out the dispatcher's decisions, independent of any protocol."""
