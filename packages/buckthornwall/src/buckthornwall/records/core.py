"""Parsing and indexing of published records."""

from collections import defaultdict
from dataclasses import dataclass, field
from hashlib import sha256
from typing import Any

import msgspec

from buckthornwall.codes import RecordError, ResultCode
from buckthornwall.utils import (
    ClassId,
    DecodingError,
    ModelId,
    RouteId,
    TeamId,
    UpstreamId,
    decode_json,
    split_address,
)

from .schema import (
    SCHEMAS,
    Model,
    Route,
    ServiceClass,
    TargetKind,
    Team,
    Upstream,
    UpstreamKind,
    convert,
)

__all__ = ["RecordView", "digest_of", "parse_records"]

DIGEST_CHARS = 16
# Numbers up to here are also exact as floating-point numbers.
MAX_NUMBER = 2**53


@dataclass
class RecordView:
    """A set of records, indexed for look-ups.

    `refused` lists, as ``(code, detail)``, the records whose schema this version of
    the program does not know, and those that depend on them.
    """

    number: int
    digest: str
    raw: bytes
    classes: dict[ClassId, ServiceClass] = field(default_factory=dict)
    teams: dict[TeamId, Team] = field(default_factory=dict)
    models: dict[ModelId, Model] = field(default_factory=dict)
    routes: dict[RouteId, Route] = field(default_factory=dict)
    upstreams: dict[UpstreamId, Upstream] = field(default_factory=dict)
    refused: list[tuple[ResultCode, str]] = field(default_factory=list)
    team_by_key_hash: dict[str, Team] = field(default_factory=dict)

    def engines_of(self, model: ModelId) -> list[Upstream]:
        """Return the engines that serve `model` according to their records."""
        return self._serving(UpstreamKind.ENGINE, model)

    def services_of(self, service: str) -> list[Upstream]:
        """Return the upstreams that serve a plain service."""
        return self._serving(UpstreamKind.SERVICE, service)

    def _serving(self, kind: UpstreamKind, name: str) -> list[Upstream]:
        return [
            upstream
            for upstream in self.upstreams.values()
            if upstream.type is kind and name in upstream.serves
        ]

    def table(self, kind: str) -> dict[str, Any]:
        """Return the records of one kind, keyed by id."""
        return {
            "class": self.classes,
            "team": self.teams,
            "model": self.models,
            "route": self.routes,
            "upstream": self.upstreams,
        }[kind]


def digest_of(raw: bytes) -> str:
    """Return the digest by which instances compare sets of records."""
    return sha256(raw).hexdigest()[:DIGEST_CHARS]


def parse_records(raw: bytes) -> RecordView:
    """Validate and index a published set of records.

    A record of an unknown schema version is refused on its own. If a record is
    present in several known versions, the newest is used. Any other fault refuses
    the whole set, in the same way on every instance.

    Parameters
    ----------
    raw
        JSON: ``{"number": 7, "records": [{"kind": ..., "schema": ...}, ...]}``.

    Raises
    ------
    RecordError
        If the set is invalid; the detail holds the path of the bad field.
    """
    number, entries = _decode_envelope(raw)
    view = RecordView(number, digest_of(raw), raw)
    unknown: set[tuple[str, str]] = set()
    chosen_schemas: dict[tuple[str, str], int] = {}
    for index, entry in enumerate(entries):
        _add_entry(view, f"records[{index}]", entry, unknown, chosen_schemas)
    _check_references(view, unknown - set(chosen_schemas))
    for team in view.teams.values():
        for key_hash in team.key_sha256:
            view.team_by_key_hash[key_hash] = team
    return view


def _decode_envelope(raw: bytes) -> tuple[int, list[Any]]:
    try:
        document = decode_json(raw)
    except DecodingError as error:
        raise RecordError(ResultCode.RECORDS_MALFORMED, str(error)) from error
    if not isinstance(document, dict):
        raise RecordError(ResultCode.RECORDS_MALFORMED, "expected an object")
    number = document.get("number")
    entries = document.get("records")
    if type(number) is not int or not 1 <= number <= MAX_NUMBER:
        detail = f"number: expected 1 to {MAX_NUMBER}"
        raise RecordError(ResultCode.RECORDS_MALFORMED, detail)
    if not isinstance(entries, list):
        raise RecordError(ResultCode.RECORDS_MALFORMED, "records: expected a list")
    return number, entries


def _add_entry(
    view: RecordView,
    path: str,
    entry: Any,
    unknown: set[tuple[str, str]],
    chosen_schemas: dict[tuple[str, str], int],
) -> None:
    kind, schema, record_id = _identify(path, entry)
    if schema not in SCHEMAS[kind]:
        unknown.add((kind, record_id))
        view.refused.append(
            (ResultCode.RECORD_SCHEMA, f"{path} {kind} {record_id} schema {schema}")
        )
        return
    try:
        record = convert(entry, kind, schema)
        if isinstance(record, Upstream):
            split_address(record.address)
    except (msgspec.ValidationError, ValueError) as error:
        raise RecordError(
            ResultCode.RECORD_INVALID, f"{path} {kind} {record_id}: {error}"
        ) from error
    seen = chosen_schemas.get((kind, record_id))
    if seen == schema:
        raise RecordError(
            ResultCode.RECORD_INVALID, f"{path} {kind} {record_id}: duplicate record"
        )
    if seen is None or schema > seen:
        chosen_schemas[kind, record_id] = schema
        view.table(kind)[record_id] = record


def _identify(path: str, entry: Any) -> tuple[str, int, str]:
    if not isinstance(entry, dict):
        raise RecordError(ResultCode.RECORD_INVALID, f"{path}: expected an object")
    kind, schema, record_id = entry.get("kind"), entry.get("schema"), entry.get("id")
    if not isinstance(kind, str) or kind not in SCHEMAS:
        raise RecordError(ResultCode.RECORD_INVALID, f"{path}.kind: unknown")
    if type(schema) is not int or schema < 1:
        raise RecordError(
            ResultCode.RECORD_INVALID, f"{path}.schema: expected 1 or more"
        )
    if not isinstance(record_id, str) or not record_id:
        raise RecordError(
            ResultCode.RECORD_INVALID, f"{path}.id: expected a non-empty string"
        )
    return kind, schema, record_id


def _references(view: RecordView) -> list[tuple[str, str, str, str]]:
    """Return ``(kind, id, target kind, target id)`` of all references."""
    found = [
        ("team", team.id, "class", class_id)
        for team in view.teams.values()
        for class_id in team.classes
    ]
    for route in view.routes.values():
        found += [("route", route.id, "class", each) for each in route.classes]
        if route.to is TargetKind.MODEL:
            found.append(("route", route.id, "model", route.target))
    for upstream in view.upstreams.values():
        if upstream.type is UpstreamKind.ENGINE:
            found += [
                ("upstream", upstream.id, "model", each) for each in upstream.serves
            ]
    return found


def _check_references(view: RecordView, unknown: set[tuple[str, str]]) -> None:
    """Drop the records that refer to one of an unknown schema.

    Raises
    ------
    RecordError
        If a record refers to one that does not exist.
    """
    dropped: dict[str, set[str]] = defaultdict(set)
    for kind, record_id, target_kind, target_id in _references(view):
        if target_id in view.table(target_kind):
            continue
        detail = f"{kind} {record_id} names {target_kind} {target_id}"
        if (target_kind, target_id) not in unknown:
            raise RecordError(ResultCode.RECORD_REFERENCE, detail)
        view.refused.append((ResultCode.RECORD_REFERENCE, detail))
        dropped[kind].add(record_id)
    for kind, record_ids in dropped.items():
        for record_id in record_ids:
            del view.table(kind)[record_id]
