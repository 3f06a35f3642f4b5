"""Servers that bear only some requests a second for a while, as after a start.

- the control leader: `leader` keeps a token bucket for each cold server and grants single sends;
- any daemon: `follower` asks for grants and uses them, `wait` holds requests for a moment until
  they come;
- `grants` holds the messages, and the proof of the bound.
"""
