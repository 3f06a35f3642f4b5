"""Load of the backends of live services, as seen by all gateways together.

`tally` counts requests in each gateway, `leader` combines the counts in the control leader and
publishes summaries, and `follower` holds the newest summary in each gateway. `estimate`, `shares`
and `flow_limits` contain the pure rules, `reports` the messages. `full_gateways` decides which
gateways may report themselves as full.
"""
