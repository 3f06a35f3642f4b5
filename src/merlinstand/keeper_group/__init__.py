"""The batch keepers' group as the control leader forms it.

- `founding`: who founds it, decided once at the very first start;
- `retirement`: whether a keeper may be emptied, and whether it is.
"""
