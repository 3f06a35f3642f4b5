"""Pure model of a model engine: batching, prefix cache, versions, time."""
