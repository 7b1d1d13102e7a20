"""Tests of validation, schema versions and adoption of records."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from buckthornwall.codes import RecordError, ResultCode
from buckthornwall.conftest import encode, make_records
from buckthornwall.records import Adoption, RecordStore, parse_records

VERSION_1 = [
    {
        "kind": "class",
        "schema": 1,
        "id": "old",
        "tier": 0,
        "first_token_ms": 500,
        "inter_token_ms": 50,
        "total_ms": 4000,
    },
    {
        "kind": "team",
        "schema": 1,
        "id": "old",
        "key_sha256": "0" * 64,
        "classes": ["old"],
    },
    {"kind": "model", "schema": 1, "id": "old"},
    {"kind": "route", "schema": 1, "id": "old", "service": "desk", "idempotent": False},
    {
        "kind": "upstream",
        "schema": 1,
        "id": "old",
        "type": "service",
        "host": "10.0.0.9",
        "port": 80,
        "serves": "desk",
    },
]


def with_record(record, number=2):
    records = make_records(number)
    records["records"].append(record)
    return encode(records)


def test_version_1_of_each_kind_is_upgraded():
    records = make_records()
    records["records"] += VERSION_1
    view = parse_records(encode(records))
    assert view.classes["old"].targets.first_token_s == 0.5
    assert view.teams["old"].key_sha256 == ["0" * 64]
    assert view.models["old"].urgent_reserve > 0
    assert not view.routes["old"].repeatable
    assert view.upstreams["old"].address == "10.0.0.9:80"


def test_newer_of_two_versions_of_a_record_is_used():
    records = make_records()
    old = {**VERSION_1[0], "id": "urgent", "first_token_ms": 9000}
    records["records"].insert(0, old)
    records["records"].append({**old, "id": "only-old"})
    view = parse_records(encode(records))
    assert view.classes["urgent"].targets.first_token_s == 2.0
    assert view.classes["only-old"].targets.first_token_s == 9.0


def test_unknown_schema_refuses_only_the_record_and_its_dependents():
    records = make_records()
    records["records"] += [
        {"kind": "class", "schema": 3, "id": "new", "anything": True},
        {
            "kind": "team",
            "schema": 2,
            "id": "two",
            "key_sha256": ["1" * 64],
            "classes": ["new"],
        },
    ]
    view = parse_records(encode(records))
    assert [code for code, _ in view.refused] == [
        ResultCode.RECORD_SCHEMA,
        ResultCode.RECORD_REFERENCE,
    ]
    assert "two" not in view.teams
    assert "one" in view.teams


@pytest.mark.parametrize(
    ("change", "code", "path"),
    [
        ({"urgent": {"tier": "high"}}, ResultCode.RECORD_INVALID, "$.tier"),
        ({"e1": {"address": "host:80"}}, ResultCode.RECORD_INVALID, "$.address"),
        ({"e1": {"address": "10.0.0.1:70000"}}, ResultCode.RECORD_INVALID, "range"),
        ({"e1": {"address": "10.0.0.999:80"}}, ResultCode.RECORD_INVALID, "range"),
        ({"one": {"classes": ["gone"]}}, ResultCode.RECORD_REFERENCE, "class gone"),
        ({"m": {"colour": "red"}}, ResultCode.RECORD_INVALID, "colour"),
        ({"low": {"floor": 1.5}}, ResultCode.RECORD_INVALID, "$.floor"),
    ],
)
def test_invalid_record_refuses_the_set_and_names_the_field(change, code, path):
    with pytest.raises(RecordError) as caught:
        parse_records(encode(make_records(**change)))
    assert caught.value.code is code
    assert path in caught.value.detail


@pytest.mark.parametrize(
    "raw",
    [
        b"",
        b"[]",
        b"{",
        b'{"number": 0, "records": []}',
        b'{"number": 1' + b"0" * 400 + b', "records": []}',
        b'{"number": 1, "records": ' + b"[" * 2001,
        b'{"number": 1, "records": ' + b"[" * 600 + b"]" * 600 + b"}",
    ],
    ids=range(7),
)
def test_malformed_set_raises_record_error_with_its_code(raw):
    with pytest.raises(RecordError) as caught:
        parse_records(raw)
    assert caught.value.code is ResultCode.RECORDS_MALFORMED


def test_set_with_lower_or_equal_number_is_not_adopted(store):
    assert store.offer(encode(make_records(5))) is Adoption.ADOPTED
    assert store.offer(encode(make_records(4))) is Adoption.OLDER
    assert store.offer(encode(make_records(5))) is Adoption.SAME
    assert store.number == 5


def test_refused_set_is_not_adopted_or_requested_again(store):
    bad = with_record({"kind": "class", "schema": 2, "id": "x"}, number=9)
    assert store.offer(bad) is Adoption.REFUSED
    assert store.number == 1
    digest = next(iter(store.refused_digests))
    assert not store.is_newer(9, digest)
    assert store.is_newer(9, "another")


def test_two_sets_with_one_number_converge_on_one():
    one = encode(make_records(7))
    other = encode(make_records(7, urgent={"weight": 2}))
    kept = set()
    for first, second in ((one, other), (other, one)):
        store = RecordStore()
        store.offer(first)
        store.offer(second)
        kept.add(store.digest)
    assert len(kept) == 1


scalars = st.sampled_from([None, True, 0, -1, 2**70, 1.5, "", "a", "10.0.0.1:80"])
json_values = (
    scalars
    | st.lists(scalars, max_size=2)
    | st.dictionaries(st.sampled_from(["first_token_s", "x"]), scalars, max_size=2)
)
KINDS = st.sampled_from(["class", "team", "model", "route", "upstream", "other"])


@given(
    kind=KINDS,
    schema=st.sampled_from([0, 1, 2, 3, "2", None]),
    fields=st.dictionaries(
        st.sampled_from(["id", "tier", "targets", "classes", "to", "target", "slots"]),
        json_values,
    ),
)
def test_arbitrary_records_raise_only_record_errors(kind, schema, fields):
    raw = with_record({"kind": kind, "schema": schema, **fields})
    try:
        parse_records(raw)
    except RecordError as error:
        assert error.code.number // 1000 == 5


@given(st.binary(max_size=200))
def test_arbitrary_bytes_are_refused_by_the_store(raw):
    assert RecordStore().offer(raw) is Adoption.REFUSED
