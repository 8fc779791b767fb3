"""Capacity: scale tests of our own against the size that the users expect, and the page made from them."""
