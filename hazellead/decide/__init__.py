"""The dispatcher's decisions, its state, and the events and actions of its interface. No I/O, no clock."""
