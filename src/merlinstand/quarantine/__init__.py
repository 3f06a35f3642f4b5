"""Requests under which servers end: who is to blame, and what may still be sent.

- any daemon: `crash_watch` notices servers that end, `follower` keeps and reports what it saw,
  `gate` is asked before each send; `request_digest` names a request over all of its tries;
- each control replica: `replica` holds the ends and, by `blame`, what is held against requests;
- the control leader: `leader` takes reports in and permits trials.
"""
