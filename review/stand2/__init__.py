"""Stand-ins for the second review: a platform, clients, workers and discovery. Standard library only."""
