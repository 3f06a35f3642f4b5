"""Python client for trainers: pulls batches, publishes weights.

Plain `http.client` on one connection a request: a trainer's process loads neither gevent
nor a daemon.
"""

from merlinstand.client.batches import Batch, Sample, TrainerClient
from merlinstand.client.errors import (
    BatchNotReadyError,
    ClientError,
    NoAnswerError,
    PositionError,
    RejectedError,
)
from merlinstand.client.weights import Published, publish_weights

__all__ = [
    "Batch",
    "BatchNotReadyError",
    "ClientError",
    "NoAnswerError",
    "PositionError",
    "Published",
    "RejectedError",
    "Sample",
    "TrainerClient",
    "publish_weights",
]
