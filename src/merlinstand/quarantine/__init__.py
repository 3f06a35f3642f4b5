"""Requests under which servers crash: who is to blame, and what may still be sent.

- any daemon: `crash_watch` notices servers that crash, `follower` keeps and reports what it saw,
  `gate` is asked before each send; `request_digest` names a request over all of its tries;
- each control replica: `replica` holds the crashes and, by `blame` and `rules`, what is held
  against requests;
- the control leader: `leader` takes reports in and permits trials;
- `messages` and `commands` are what goes between daemons and into the directory's log.
"""
