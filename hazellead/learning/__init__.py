"""Facts that instances share about workers, classes and tenants. No clock, sockets or files are used here."""
