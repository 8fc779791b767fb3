"""What instances know, as facts that travel: pure, with no clock, no sockets and no files."""
