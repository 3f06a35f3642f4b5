"""Parsing of the `X-Server-Load` header, including malformed and implausible values."""

import pytest

from merlinstand.server_load.reports import ReportedLoad
from merlinstand_platform.batch import PlatformGatewayInterface


@pytest.mark.parametrize(
    ("text", "load"),
    [
        pytest.param("2,0,6,130", ReportedLoad(2, 0, 6, 1.3), id="complete"),
        pytest.param("6, 11, 6, 90", ReportedLoad(6, 11, 6, 0.9), id="with spaces"),
        pytest.param("2,0,6", ReportedLoad(2, 0, 6, 1.0), id="without a pace"),
        pytest.param("0,0,0,100", ReportedLoad(0, 0, 0, 1.0), id="no slots"),
        pytest.param(None, None, id="missing"),
        pytest.param("", None, id="empty"),
        pytest.param("2,0", None, id="truncated"),
        pytest.param("2,0,6,", None, id="empty pace"),
        pytest.param("2,0,6,100,1", None, id="too many fields"),
        pytest.param("-1,0,6,100", None, id="negative"),
        pytest.param("2,0,6,-100", None, id="negative pace"),
        pytest.param("2,0,6,0", None, id="zero pace"),
        pytest.param("2,0,6,99999999", None, id="implausible pace"),
        pytest.param("99999999,0,6,100", None, id="implausible running count"),
        pytest.param("9" * 5000 + ",0,6,100", None, id="too long"),
        pytest.param("2,0,6,nan", None, id="not a number"),
        pytest.param("2,0,6,1e2", None, id="exponent notation"),
        pytest.param("٢,0,6,100", None, id="non-ASCII digits"),
        pytest.param("a,b,c,d", None, id="words"),
    ],
)
def test_server_load_header_is_parsed(text: str | None, load: ReportedLoad | None) -> None:
    headers = {} if text is None else {"x-server-load": text}
    assert PlatformGatewayInterface().read_server_load(headers) == load
