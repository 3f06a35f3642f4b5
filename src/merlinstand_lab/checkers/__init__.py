"""One checker for each promise of the brief, reading only the records of outsiders."""
