"""Text of the model: every chunk says which tokens it holds, who made them, under what.

A chunk's text is `[FIRST-END@VERSION]`, in the first chunk of a request
`[FIRST-END@VERSION REQUEST_ID]`, followed by filler. Whoever holds a sample's text can so
prove its origin and wholeness without believing anybody's table.
"""

import re

import msgspec

from merlinstand_lab.records.kinds import ProducedSpan

_MARKER = re.compile(r"\[(\d+)-(\d+)@(\d+)(?: ([^\]]+))?\]")


class ParsedText(msgspec.Struct, frozen=True):
    """What a text proves."""

    produced: list[ProducedSpan]
    token_count: int
    contiguous: bool
    """Whether the tokens run from 0 without gap, overlap or missing origin."""


def render_chunk(
    first_token: int, end_token: int, version: int, request_id: str, bytes_per_token: int
) -> str:
    """Return the text of one chunk; `request_id` is empty except in a request's first chunk."""
    origin = f" {request_id}" if request_id else ""
    marker = f"[{first_token}-{end_token}@{version}{origin}]"
    filler = (end_token - first_token) * bytes_per_token - len(marker)
    return marker + "." * filler if filler > 0 else marker


def parse_text(text: str) -> ParsedText:
    """Read the markers of a sample's whole text."""
    produced: list[ProducedSpan] = []
    position = 0
    contiguous = True
    request_id = ""
    for match in _MARKER.finditer(text):
        first_token, end_token, version = (int(match[group]) for group in (1, 2, 3))
        request_id = match[4] or request_id
        contiguous = contiguous and first_token == position and end_token > first_token
        contiguous = contiguous and bool(request_id)
        position = end_token
        _extend(produced, (request_id, version, first_token, end_token))
    return ParsedText(produced, position, contiguous)


def _extend(produced: list[ProducedSpan], span: ProducedSpan) -> None:
    """Add a span, merged with the last one if it goes on from there."""
    if produced:
        request_id, version, first_token, end_token = produced[-1]
        if (request_id, version, end_token) == span[:3]:
            produced[-1] = (request_id, version, first_token, span[3])
            return
    produced.append(span)
