"""The decisions, what they remember, and the events and actions they deal in. No I/O, no clock."""
