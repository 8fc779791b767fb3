"""Saves an instance's facts to a file, for a start at which no peer answers. Optional; needs a disk."""
