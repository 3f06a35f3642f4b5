"""Names of the objects in the coordinator tests."""

JOB = "blurbs"
POOL = "blurb-llm"
MODEL = "blurb"
