"""The scenarios, grouped by how much of a deployment they run."""
