"""The thin front for the platform's own protocol: clients, workers and discovery."""
