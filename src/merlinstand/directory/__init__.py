"""The directory: routes, backends, weight versions and daemons, replicated by the control group.

- every control replica: `daemon` is the reducer; `state_machine` applies the `commands` of the log,
  `backend_table` (with `former_backends`, `returned_backends`, `backend_history`) those about
  backends; `heartbeats` and `heartbeat_intake` process heartbeats by `heartbeat_rules`; `replies`
  answers callers, with the types of `requests`;
- the control leader: `leader_requests` handles callers' requests, `leader_tasks` the periodic work,
  `publisher` and `subscribers` send daemons the changes that they lack, `address_contests`
  resolves claims to addresses;
- any other daemon: `follower`, with `leader_contact` and `backend_view`;
- `view` holds the messages between the two, `settings` and `part_settings` the settings.
"""
