"""The `merlinstand-lab` command."""
