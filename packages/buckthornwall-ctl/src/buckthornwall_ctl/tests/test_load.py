"""Tests of a fleet's load, from logs."""

import pytest

from buckthornwall_ctl.load import format_load, summarize_load
from buckthornwall_ctl.log_lines import read_logs
from buckthornwall_ctl.main import main

PLACED = (
    "time=2026-01-01T00:00:{at:06.3f}+00:00 level=INFO node={node} "
    "event=request_placed request={request} upstream={engine} attempt=1 "
    "unread_before={unread} expected_ms={expected} in_flight=3\n"
)
FINISHED = (
    "time=2026-01-01T00:00:{at:06.3f}+00:00 level=INFO node={node} "
    "event=request_finished request={request} outcome=answered first_ms={first}\n"
)
REFUSED_AND_OVERDUE = (
    "time=2026-01-01T00:00:02.100+00:00 level=WARNING node=b event=request_refused "
    "request=r9 code=2001 status=429\n"
    "time=2026-01-01T00:00:02.200+00:00 level=WARNING node=b event=request_refused "
    "request=r8 code=3002 status=502\n"
    "time=2026-01-01T00:00:02.300+00:00 level=WARNING node=b event=news_overdue "
    "speaker=a word_age_ms=1200 number=7\n"
)


@pytest.fixture
def log(tmp_path):
    text = PLACED.format(
        at=0.0, node="a", request="r1", engine="e1", unread=900, expected=100
    )
    text += PLACED.format(
        at=2.0, node="b", request="r2", engine="e2", unread=70_000, expected=200
    )
    text += FINISHED.format(at=0.5, node="a", request="r1", first=120)
    text += FINISHED.format(at=2.9, node="b", request="r2", first=900)
    path = tmp_path / "log"
    path.write_text(text + REFUSED_AND_OVERDUE)
    return path


def test_waits_and_refusals_are_counted_by_second(log):
    load = summarize_load(read_logs([log]))
    first, third = load.seconds[0], load.seconds[2]
    assert (first.placed, first.refused, first.observed_ms) == (1, 0, [120.0])
    assert (third.placed, third.refused, third.overdue_instances) == (1, 1, {"b"})


def test_most_loaded_engine_and_worst_prediction_come_first(log):
    lines = format_load(summarize_load(read_logs([log])))
    engines = lines.index("engine  placed  most unread before  most in flight")
    assert lines[engines + 1] == "e2  1  70000  3"
    assert lines[-2:] == ["b  1  700", "a  1  20"]


def test_load_prints_tables_and_writes_plot(log, tmp_path, capsys):
    plot = tmp_path / "day.png"
    assert main(["load", str(log), "--plot", str(plot)]) == 0
    assert "instances overdue" in capsys.readouterr().out
    assert plot.read_bytes().startswith(b"\x89PNG")


def test_empty_log_is_reported(tmp_path, capsys):
    empty = tmp_path / "log"
    empty.write_text("")
    assert main(["load", str(empty)]) == 1
    assert "no line" in capsys.readouterr().err
