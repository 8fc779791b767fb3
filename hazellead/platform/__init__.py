"""The platform's HTTP protocol: clients, workers, discovery, and the configuration."""
