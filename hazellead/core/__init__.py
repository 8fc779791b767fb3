"""Requests, attempts and outcomes: carries out the module's decisions and knows no wire."""
