"""The trainers' HTTP requests, checked before anything is done for them."""

from typing import Annotated
from urllib.parse import unquote

import msgspec
from result import Err, Ok, Result

from merlinstand.common.decoding import DECODE_ERRORS
from merlinstand.common.errors import (
    InvalidInputError,
    MerlinstandError,
    MethodNotAllowedError,
    NotFoundError,
)
from merlinstand.coordinator.samples import BatchRequest
from merlinstand.kernel.events import RequestReceived

MAXIMUM_NAME_CHARACTERS = 200
"""Longest consumer name and nonce in a request, in characters: bounds what one request may leave in
the ledger. Chosen, not measured."""

Name = Annotated[str, msgspec.Meta(min_length=1, max_length=MAXIMUM_NAME_CHARACTERS)]
Position = Annotated[int, msgspec.Meta(ge=0, lt=2**53)]


class BatchRequestBody(msgspec.Struct, frozen=True, kw_only=True):
    """Body of `POST /v1/jobs/JOB/batches`, as it comes in."""

    consumer: Name
    last_received_batch: Position
    trainer_version: Position
    nonce: Name
    last_received_nonce: Annotated[str, msgspec.Meta(max_length=MAXIMUM_NAME_CHARACTERS)] = ""


class BatchRequested(msgspec.Struct, frozen=True):
    """A well-formed request for a batch."""

    job: str
    request: BatchRequest


class JobsRequested(msgspec.Struct, frozen=True):
    """`GET /v1/jobs`: how the jobs led here are doing."""


class ReadinessRequested(msgspec.Struct, frozen=True):
    """`GET /readyz`."""


class LivenessRequested(msgspec.Struct, frozen=True):
    """`GET /livez`, where the host does not answer it itself."""


ParsedRequest = BatchRequested | JobsRequested | ReadinessRequested | LivenessRequested


_DECODER = msgspec.json.Decoder(BatchRequestBody)


def parse_request(event: RequestReceived) -> Result[ParsedRequest, MerlinstandError]:
    """Find out what an HTTP request asks for."""
    # Not `urlsplit`, which raises on a request target such as `//[`.
    path, _, _query = event.path.partition("?")
    if path == "/readyz":
        return Ok(ReadinessRequested())
    if path == "/livez":
        return Ok(LivenessRequested())
    if path == "/v1/jobs":
        return (
            Ok(JobsRequested())
            if event.method == "GET"
            else Err(MethodNotAllowedError(detail="use GET"))
        )
    parts = path.split("/")
    if len(parts) != 5 or parts[1:3] != ["v1", "jobs"] or parts[4] != "batches":
        return Err(NotFoundError(detail="no such path"))
    if event.method != "POST":
        return Err(MethodNotAllowedError(detail="use POST"))
    return _parse_batch_request(unquote(parts[3]), event.body)


def _parse_batch_request(job: str, body: bytes) -> Result[ParsedRequest, MerlinstandError]:
    try:
        decoded = _DECODER.decode(body)
    except DECODE_ERRORS as error:
        return Err(InvalidInputError(detail=str(error)))
    request = BatchRequest(
        consumer=decoded.consumer,
        last_received_batch=decoded.last_received_batch,
        trainer_version=decoded.trainer_version,
        nonce=decoded.nonce,
        last_received_nonce=decoded.last_received_nonce,
    )
    return Ok(BatchRequested(job, request))
