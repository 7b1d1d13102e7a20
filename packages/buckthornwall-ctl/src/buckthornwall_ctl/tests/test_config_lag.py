"""Tests of how long instances were behind, as their logs tell."""

import pytest

from buckthornwall_ctl.main import main


def line(second: float, node: str, event: str, **pairs) -> str:
    rest = "".join(f" {key}={value}" for key, value in pairs.items())
    moment = f"2026-01-01T00:00:{second:06.3f}+00:00"
    return f"time={moment} level=INFO node={node} event={event}{rest}\n"


def adopted(second: float, node: str, number: int) -> str:
    return line(second, node, "config_adopted", number=number)


@pytest.fixture
def behind(tmp_path, capsys):
    def behind(*lines: str) -> list[str]:
        path = tmp_path / "log"
        path.write_text("".join(lines))
        assert main(["behind", str(path)]) == 0
        return [
            " ".join(each.split()[:5]) for each in capsys.readouterr().out.splitlines()
        ]

    return behind


def test_who_adopts_later_was_behind_from_the_first_adoption_of_anything_newer(behind):
    assert behind(
        adopted(1, "a", 4),
        adopted(1, "b", 4),
        adopted(2, "a", 6),
        adopted(3, "a", 8),
        adopted(4.5, "b", 8),
    ) == ["2500 ms b kept=4 adopted=8"]


def test_who_never_adopts_is_behind_until_the_last_line(behind):
    assert behind(
        adopted(1, "a", 4), adopted(1, "b", 4), adopted(2, "a", 6), line(5, "a", "any")
    ) == ["3000 ms b kept=4 adopted=none"]


def test_who_stops_is_left_out_until_it_has_a_version_again(behind):
    assert behind(
        adopted(1, "a", 4),
        adopted(1, "b", 4),
        line(1.5, "b", "stopping"),
        adopted(2, "a", 6),
        line(4, "b", "starting"),
        adopted(4.1, "b", 6),
    ) == ["no instance was behind another"]


def test_a_file_that_is_not_there_has_a_code(tmp_path, capsys):
    assert main(["behind", str(tmp_path / "none")]) == 1
    assert "6004" in capsys.readouterr().err
