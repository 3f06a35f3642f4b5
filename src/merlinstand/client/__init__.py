"""Python client for trainers: pulls batches and publishes weights.

Uses `http.client` with one connection per request, so that a trainer's process loads neither
gevent nor the daemons' code.
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
