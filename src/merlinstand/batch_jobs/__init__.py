"""Batch jobs: kept by a replicated group of keepers, run and scored by the group's leader.

Every keeper runs `daemon`, which joins the parts:

- jobs and the log: `state_machine`, `kept_text`, `request_stripping`, `keeper_replica`;
- gateways: `gateway_calls`, `reads`; types of calls in the package `batch_calls`;
- items, in the leader: `runner` keeps them, `item_calls`, `item_streams`, `item_scoring`,
  `scoring_queue`, `item_listing` and `held_items` act;
- weights, in the leader: `weight_loader`, `weight_calls`, `engine_probes`, `model_assignments`.

Rules, pure, each with its constants:

- in which order items start: `schedule`; which groups wait: `overload`, kept by `deferral`;
- where an item goes: `placement`, seen by `scheduling_pass`; which runs move: `run_moves`;
- again, anew or terminated: `decisions.item_retry`; until when: `job_lifetime`;
- which texts go to the log: `text_keeping`; how long items become: `lengths`;
- which engine loads what: `engine_assignment`, `load_plan`; sends to cold ones: `cold_engines`;
- where a job may stand: `item_regions`.
"""
