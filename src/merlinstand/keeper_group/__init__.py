"""Decisions of the control leader about the membership of the batch keepers' group.

- `founding`: choice of the initial members at the first start of the deployment;
- `retirement`: whether a keeper may be retired (removed from the group), and whether its
  retirement is complete.
"""
