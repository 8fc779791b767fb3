"""The frontend for clients and workers that speak the Gearman protocol; it uses the same scheduler core."""
