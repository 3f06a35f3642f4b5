"""The directory: routes, back ends, weight versions and daemons, agreed by the control group.

- every control replica: `daemon` is the reducer; `state_machine` applies `commands` to what is
  agreed, `backend_table` (with `former_backends`, `returned_backends`, `backend_history`) to back
  ends; `heartbeats` and `heartbeat_intake` take heartbeats in by `heartbeat_rules`; `replies`
  answers callers, in the types of `requests`;
- the control leader: `leader_requests` decides what callers ask, `leader_tasks` does what is due,
  `publisher` and `subscribers` send daemons what they lack, `address_contests` settles claims;
- any other daemon: `follower`, with `leader_contact` and `backend_view`;
- `view` holds the messages between the two, `settings` and `part_settings` the settings.
"""
