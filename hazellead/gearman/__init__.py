"""The front end for the Gearman protocol: connects Gearman clients and workers to the same core."""
