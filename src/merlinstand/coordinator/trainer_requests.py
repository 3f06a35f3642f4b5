"""Parses and validates the HTTP requests of trainers and operators."""

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
"""Limit on a consumer name and a nonce in a request, which are stored in the ledger."""

Name = Annotated[str, msgspec.Meta(min_length=1, max_length=MAXIMUM_NAME_CHARACTERS)]
Position = Annotated[int, msgspec.Meta(ge=0, lt=2**53)]


class BatchRequestBody(msgspec.Struct, frozen=True, kw_only=True):
    """Body of `POST /v1/jobs/JOB/batches`, with the limits of its fields."""

    consumer: Name
    last_received_batch: Position
    trainer_version: Position
    nonce: Name
    last_received_nonce: Annotated[str, msgspec.Meta(max_length=MAXIMUM_NAME_CHARACTERS)] = ""


class BatchRequested(msgspec.Struct, frozen=True):
    """A valid request for a batch."""

    job: str
    request: BatchRequest


class JobsRequested(msgspec.Struct, frozen=True):
    """`GET /v1/jobs`: the status of the jobs that this coordinator leads."""


ParsedRequest = BatchRequested | JobsRequested


_DECODER = msgspec.json.Decoder(BatchRequestBody)


def parse_request(event: RequestReceived) -> Result[ParsedRequest, MerlinstandError]:
    """Parse an HTTP request; returns an error for an invalid one."""
    # Not `urlsplit`, which raises on a request target such as `//[`.
    path, _, _query = event.path.partition("?")
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
