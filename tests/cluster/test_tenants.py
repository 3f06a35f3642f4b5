"""Tenants of a document: what is refused, and whose a key is."""

import json
import random
from typing import Any

import pytest

from merlinstand.cluster.routes import RouteTable
from merlinstand.cluster.tenants import MAXIMUM_KEY_CHARACTERS, Tenant, TenantTable, digest_key
from merlinstand.common.ids import RequestId
from merlinstand.directory.requests import DocumentPut
from merlinstand.kernel.events import RequestReceived
from merlinstand_platform.control import PlatformControlInterface
from merlinstand_platform.document import read_document
from tests.users_platform.callers import config

KEY = "k3y-of-alpha"


def with_tenants(*tenants: dict[str, Any]) -> bytes:
    content = config(3, {"shop": [], "llm": ["m0"]})
    content["Tenants"] = list(tenants)
    content["Routes"][0]["Public"] = True
    return json.dumps(content).encode()


def test_tenants_and_public_routes_are_read_and_their_keys_are_not_kept() -> None:
    raw = with_tenants(
        {"Name": "alpha", "ApiKeys": [KEY, "second"], "Priority": 1},
        {"Name": "beta", "ApiKeys": []},
    )
    document = read_document(raw).unwrap()
    assert [(tenant.name, tenant.priority) for tenant in document.tenants] == [
        ("alpha", 1),
        ("beta", None),
    ]
    assert [route.is_public for route in document.routes] == [True, False, False]
    assert KEY not in repr(document)
    put = PlatformControlInterface().read(
        RequestReceived(RequestId("r"), "PUT", "/config", {}, raw)
    )
    held = put.unwrap()
    assert isinstance(held, DocumentPut)
    assert held.raw == raw


@pytest.mark.parametrize(
    ("tenants", "named"),
    [
        pytest.param(
            [{"Name": "alpha", "ApiKeys": [KEY]}, {"Name": "beta", "ApiKeys": ["b", KEY]}],
            ("'beta'", "'alpha'", "shares a key"),
            id="one-key-of-two",
        ),
        pytest.param([{"Name": "", "ApiKeys": [KEY]}], ("name is empty",), id="no-name"),
        pytest.param(
            [{"Name": "alpha"}, {"Name": "alpha"}], ("'alpha'", "there twice"), id="name-twice"
        ),
        pytest.param([{"Name": "a b"}], ("can't stand in a header",), id="name-with-blank"),
        pytest.param(
            [{"Name": "alpha", "ApiKeys": [KEY + "\r\nX-Tenant: beta"]}],
            ("'alpha'", "can't stand in a header"),
            id="key-with-line-end",
        ),
        pytest.param([{"Name": "alpha", "ApiKeys": [""]}], ("'alpha'", "empty"), id="no-key"),
        pytest.param([{"Name": "alpha", "ApiKeys": ["ü" + KEY]}], ("'alpha'",), id="not-ascii"),
        pytest.param(
            [{"Name": "alpha", "ApiKeys": ["k" * (MAXIMUM_KEY_CHARACTERS + 1)]}], (), id="too-long"
        ),
        pytest.param([{"Name": "alpha", "ApiKeys": KEY}], ("ApiKeys",), id="no-list"),
    ],
)
def test_faulty_tenants_are_refused_with_their_place_and_without_the_key(
    tenants: list[dict[str, Any]], named: tuple[str, ...]
) -> None:
    error = read_document(with_tenants(*tenants)).unwrap_err()
    for part in named:
        assert part in error.detail
    assert KEY not in error.detail


def test_the_same_key_twice_of_one_tenant_is_no_fault() -> None:
    raw = with_tenants({"Name": "alpha", "ApiKeys": [KEY, KEY]})
    table = RouteTable(read_document(raw).unwrap()).tenants
    found = table.find(f"Bearer {KEY}")
    assert found is not None
    assert found.name == "alpha"


@pytest.mark.parametrize(
    ("authorization", "tenant"),
    [
        pytest.param(f"Bearer {KEY}", "alpha", id="as-sent"),
        pytest.param(f"bearer {KEY}", "alpha", id="scheme-in-any-case"),
        pytest.param(f"Bearer  {KEY} ", "alpha", id="blanks-around"),
        pytest.param("", None, id="none"),
        pytest.param(KEY, None, id="no-scheme"),
        pytest.param(f"Basic {KEY}", None, id="other-scheme"),
        pytest.param(f"Bearer {KEY[:-1]}", None, id="cut-short"),
        pytest.param(f"Bearer {KEY}x", None, id="longer"),
        pytest.param(f"Bearer {KEY.upper()}", None, id="other-case"),
        pytest.param(f"Bearer {KEY}, Bearer {KEY}", None, id="header-twice"),
        pytest.param(f"Bearer {KEY}\x00", None, id="control-character"),
        pytest.param("Bearer " + "k" * 100_000, None, id="very-long"),
        pytest.param("Bearer ключ", None, id="not-ascii"),
    ],
)
def test_the_tenant_of_a_header(authorization: str, tenant: str | None) -> None:
    table = TenantTable([Tenant(name="alpha", key_digests=(digest_key(KEY).unwrap(),))])
    found = table.find(authorization)
    assert (found.name if found else None) == tenant


def test_thousands_of_odd_keys_find_nobody() -> None:
    generator = random.Random(77)
    table = TenantTable([Tenant(name="alpha", key_digests=(digest_key(KEY).unwrap(),))])
    for _ in range(5_000):
        position = generator.randrange(len(KEY))
        odd = KEY[:position] + chr(generator.randrange(0, 0x500)) + KEY[position + 1 :]
        if odd != KEY:
            assert table.find(f"Bearer {odd}") is None
