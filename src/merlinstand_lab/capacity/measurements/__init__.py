"""One module a measurement; each returns rows for its CSV file."""
