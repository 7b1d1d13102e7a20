"""Tests of the configuration lag of instances, from logs."""

import pytest

from buckthornwall_ctl.main import main


def line(second: float, node: str, event: str, **pairs) -> str:
    fields = "".join(f" {key}={value}" for key, value in pairs.items())
    timestamp = f"2026-01-01T00:00:{second:06.3f}+00:00"
    return f"time={timestamp} level=INFO node={node} event={event}{fields}\n"


def adopted(second: float, node: str, number: int) -> str:
    return line(second, node, "config_adopted", number=number)


@pytest.fixture
def run_behind(tmp_path, capsys):
    def run_behind(*lines: str) -> list[str]:
        path = tmp_path / "log"
        path.write_text("".join(lines))
        assert main(["behind", str(path)]) == 0
        return [
            " ".join(each.split()[:5]) for each in capsys.readouterr().out.splitlines()
        ]

    return run_behind


def test_lag_starts_at_first_adoption_of_any_newer_version(run_behind):
    assert run_behind(
        adopted(1, "a", 4),
        adopted(1, "b", 4),
        adopted(2, "a", 6),
        adopted(3, "a", 8),
        adopted(4.5, "b", 8),
    ) == ["2500 ms b kept=4 adopted=8"]


def test_instance_that_never_adopts_lags_until_last_line(run_behind):
    assert run_behind(
        adopted(1, "a", 4), adopted(1, "b", 4), adopted(2, "a", 6), line(5, "a", "any")
    ) == ["3000 ms b kept=4 adopted=none"]


def test_stopped_instance_is_ignored_until_it_adopts_a_version(run_behind):
    assert run_behind(
        adopted(1, "a", 4),
        adopted(1, "b", 4),
        line(1.5, "b", "stopping"),
        adopted(2, "a", 6),
        line(4, "b", "starting"),
        adopted(4.1, "b", 6),
    ) == ["no instance was behind another"]


def test_missing_log_file_is_reported_with_code(tmp_path, capsys):
    assert main(["behind", str(tmp_path / "none")]) == 1
    assert "6004" in capsys.readouterr().err
