"""Names of the objects that the coordinator's tests work with."""

JOB = "blurbs"
POOL = "blurb-llm"
MODEL = "blurb"
