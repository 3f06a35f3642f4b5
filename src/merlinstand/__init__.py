"""A rollout service for reinforcement learning."""
