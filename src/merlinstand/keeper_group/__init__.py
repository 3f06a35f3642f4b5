"""The batch keepers' group as the control leader forms it: founding, and retirement of members."""
