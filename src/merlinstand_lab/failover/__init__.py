"""Failover of a real control group: leaders are killed and frozen under steady writes."""
