"""The console, an HTTP address for operators: metrics, health, and calls to drain and resume a scheduler."""
