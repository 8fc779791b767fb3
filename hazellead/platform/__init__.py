"""The front end for the platform's HTTP protocol: clients, workers and discovery."""
