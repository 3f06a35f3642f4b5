"""Batch jobs: kept by a replicated group of keepers, run and scored by the group's leader."""
