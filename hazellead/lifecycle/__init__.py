"""The life of a scheduler process, and the hand-over of its work to a successor."""
