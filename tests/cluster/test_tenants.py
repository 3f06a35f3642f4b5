"""Validation of the tenants of a document, and lookup of tenants by key."""

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
from tests.users_platform.callers import make_config

KEY = "k3y-of-alpha"


def with_tenants(*tenants: dict[str, Any]) -> bytes:
    content = make_config(3, {"shop": [], "llm": ["m0"]})
    content["Tenants"] = list(tenants)
    content["Routes"][0]["Public"] = True
    return json.dumps(content).encode()


def test_tenants_and_public_routes_are_read_without_storing_keys() -> None:
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
    document_put = put.unwrap()
    assert isinstance(document_put, DocumentPut)
    assert document_put.raw == raw


@pytest.mark.parametrize(
    ("tenants", "expected_parts"),
    [
        pytest.param(
            [{"Name": "alpha", "ApiKeys": [KEY]}, {"Name": "beta", "ApiKeys": ["b", KEY]}],
            ("'beta'", "'alpha'", "shares a key"),
            id="key-shared-by-two-tenants",
        ),
        pytest.param([{"Name": "", "ApiKeys": [KEY]}], ("name is empty",), id="empty-name"),
        pytest.param(
            [{"Name": "alpha"}, {"Name": "alpha"}],
            ("'alpha'", "duplicate name"),
            id="duplicate-name",
        ),
        pytest.param([{"Name": "a b"}], ("not a valid header value",), id="name-with-space"),
        pytest.param(
            [{"Name": "alpha", "ApiKeys": [KEY + "\r\nX-Tenant: beta"]}],
            ("'alpha'", "not a valid header value"),
            id="key-with-line-break",
        ),
        pytest.param([{"Name": "alpha", "ApiKeys": [""]}], ("'alpha'", "empty"), id="empty-key"),
        pytest.param([{"Name": "alpha", "ApiKeys": ["ü" + KEY]}], ("'alpha'",), id="non-ascii-key"),
        pytest.param(
            [{"Name": "alpha", "ApiKeys": ["k" * (MAXIMUM_KEY_CHARACTERS + 1)]}],
            (),
            id="key-too-long",
        ),
        pytest.param([{"Name": "alpha", "ApiKeys": KEY}], ("ApiKeys",), id="keys-not-a-list"),
    ],
)
def test_invalid_tenants_are_rejected_without_showing_the_key(
    tenants: list[dict[str, Any]], expected_parts: tuple[str, ...]
) -> None:
    error = read_document(with_tenants(*tenants)).unwrap_err()
    for part in expected_parts:
        assert part in error.detail
    assert KEY not in error.detail


def test_a_tenant_may_list_the_same_key_twice() -> None:
    raw = with_tenants({"Name": "alpha", "ApiKeys": [KEY, KEY]})
    table = RouteTable(read_document(raw).unwrap()).tenants
    found = table.find(f"Bearer {KEY}")
    assert found is not None
    assert found.name == "alpha"


@pytest.mark.parametrize(
    ("authorization", "tenant"),
    [
        pytest.param(f"Bearer {KEY}", "alpha", id="valid"),
        pytest.param(f"bearer {KEY}", "alpha", id="scheme-in-lower-case"),
        pytest.param(f"Bearer  {KEY} ", "alpha", id="spaces-around-key"),
        pytest.param("", None, id="empty-header"),
        pytest.param(KEY, None, id="no-scheme"),
        pytest.param(f"Basic {KEY}", None, id="other-scheme"),
        pytest.param(f"Bearer {KEY[:-1]}", None, id="truncated-key"),
        pytest.param(f"Bearer {KEY}x", None, id="key-with-suffix"),
        pytest.param(f"Bearer {KEY.upper()}", None, id="key-in-other-case"),
        pytest.param(f"Bearer {KEY}, Bearer {KEY}", None, id="two-credentials"),
        pytest.param(f"Bearer {KEY}\x00", None, id="control-character"),
        pytest.param("Bearer " + "k" * 100_000, None, id="oversized-key"),
        pytest.param("Bearer ключ", None, id="non-ascii-key"),
    ],
)
def test_tenant_is_found_only_for_its_exact_key(authorization: str, tenant: str | None) -> None:
    table = TenantTable([Tenant(name="alpha", key_digests=(digest_key(KEY).unwrap(),))])
    found = table.find(authorization)
    assert (found.name if found else None) == tenant


def test_keys_with_one_changed_character_match_no_tenant() -> None:
    generator = random.Random(77)
    table = TenantTable([Tenant(name="alpha", key_digests=(digest_key(KEY).unwrap(),))])
    for _ in range(5_000):
        position = generator.randrange(len(KEY))
        changed_key = KEY[:position] + chr(generator.randrange(0, 0x500)) + KEY[position + 1 :]
        if changed_key != KEY:
            assert table.find(f"Bearer {changed_key}") is None
