"""Raft-like consensus of the control group: election, log, snapshots, membership, leader lease."""
