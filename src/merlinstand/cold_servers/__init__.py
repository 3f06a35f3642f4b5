"""Rate limits for cold backends, which bear only a few requests a second, as after a start.

- the control leader: `leader` keeps a token bucket for each cold backend and grants single sends;
- any daemon: `follower` requests grants and uses them; `forwarding.cold_wait` holds requests for a
  moment until they arrive;
- `grants` defines the messages and proves the bound.
"""
