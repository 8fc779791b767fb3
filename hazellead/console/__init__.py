"""The operators' HTTP interface: statistics, health, and calls to quiesce and resume a scheduler."""
