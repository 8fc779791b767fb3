"""The front for Gearman speakers: a translator from old clients and workers to the same core."""
