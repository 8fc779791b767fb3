"""Start and shutdown of a scheduler process, and the hand-over of its work to the next process."""
