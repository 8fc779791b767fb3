"""The operators' address: figures, health and calls to empty a scheduler and to bring it back."""
