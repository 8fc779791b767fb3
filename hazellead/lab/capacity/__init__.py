"""Scale tests against the size that the users expect, and the capacity page rendered from their results."""
