"""Batch jobs: stored by a replicated group of keepers, run and scored by the group's leader.

Every keeper runs `daemon`, which connects these parts:

- replicated jobs and the log: `state_machine`, `kept_text`, `request_stripping`, `keeper_replica`;
- calls of gateways: `gateway_calls`, `reads`; the call types are in the package `batch_calls`;
- items, in the leader only: `runner`, with `item_calls`, `item_streams`, `item_scoring`,
  `scoring_queue`, `item_listing` and `waiting_items`;
- model weights, in the leader only: `weight_loader`, `weight_calls`, `engine_probes`,
  `model_assignments`.

Modules of pure decisions, each with its constants:

- order in which items start: `schedule`; deferred groups: `overload`, applied by `deferral`;
- engine of an item: `placement`, based on `scheduling_pass`; moves of runs: `run_moves`;
- retry or termination of items: `decisions.item_retry`; lifetime of jobs: `job_lifetime`;
- checkpoints of texts: `text_keeping`; expected lengths of texts: `lengths`;
- models that engines load: `engine_assignment`, `load_plan`; attempts at cold engines:
  `cold_engines`;
- regions in which items may run: `item_regions`.
"""
