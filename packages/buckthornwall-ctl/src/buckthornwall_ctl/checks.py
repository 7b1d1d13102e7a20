"""Checks of settings and records before they are deployed or published."""

from pathlib import Path

from buckthornwall.codes import RecordError, ResultCode
from buckthornwall.records import RecordView, parse_records
from buckthornwall.settings import RouterSettings, Settings
from buckthornwall.settings.sections import read_text

from .client import read_raw

__all__ = ["check_records", "check_settings", "describe_change"]

RECORD_KINDS = ("class", "team", "model", "route", "upstream")


def check_settings(path: Path) -> list[str]:
    """Check a settings file; return a line with its instance and zone.

    Raises
    ------
    SettingsError
        Naming file, section and key.
    """
    text = read_text(path)
    kind = RouterSettings if "[edge]" in text else Settings
    settings = kind.from_config(text, str(path))
    return [f"ok: instance {settings.node.id} in {settings.node.zone}"]


def check_records(path: Path, against: str | None) -> list[str]:
    """Check a set of records, optionally against those in force at an instance.

    Parameters
    ----------
    path
        File with the set as it would be published.
    against
        Operator address of an instance, or None.

    Raises
    ------
    RecordError
        If a field is invalid (with its path), or if the set would not be adopted.
    """
    try:
        raw = path.read_bytes()
    except OSError as error:
        raise RecordError(ResultCode.RECORDS_MALFORMED, str(error)) from error
    view = parse_records(raw)
    lines = [f"ok: number {view.number}, digest {view.digest}"]
    lines += [
        f"refused record: {code.number} {detail}" for code, detail in view.refused
    ]
    if against is not None:
        in_force = parse_records(read_raw(against, "/records"))
        if view.number <= in_force.number:
            detail = f"{view.number} is not above {in_force.number}, which is in force"
            raise RecordError(ResultCode.RECORDS_OLDER, detail)
        lines += describe_change(in_force, view)
    return lines


def describe_change(old: RecordView, new: RecordView) -> list[str]:
    """Return a line for each record that is added, removed or changed."""
    lines = []
    for kind in RECORD_KINDS:
        before, after = old.table(kind), new.table(kind)
        lines += [f"+ {kind} {ident}" for ident in sorted(set(after) - set(before))]
        lines += [f"- {kind} {ident}" for ident in sorted(set(before) - set(after))]
        lines += [
            f"~ {kind} {ident}"
            for ident in sorted(set(before) & set(after))
            if before[ident] != after[ident]
        ]
    return lines
