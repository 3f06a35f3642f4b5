"""Rate limits for cold backends, which can serve only a few requests per second, as after a start.

- the control leader: `leader` keeps a token bucket for each cold backend and issues grants, each of
  which permits a daemon to send one request to the backend;
- any daemon: `follower` requests grants and uses them; `forwarding.cold_wait` delays requests for a
  moment until grants arrive;
- `grants` defines the messages and proves that the rate limit holds.
"""
