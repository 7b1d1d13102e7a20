"""Tests of priority inversions, from logs."""

import pytest

from buckthornwall_ctl.log_lines import read_logs
from buckthornwall_ctl.main import main
from buckthornwall_ctl.priority_inversion import count_by_window

REFUSED = (
    "time=2026-01-01T00:00:0{at}.000+00:00 level=WARNING node=a event=request_refused "
    'request={request} code=2001 status=429 pool=p tier={tier} first_ms=""\n'
)
FINISHED = (
    "time=2026-01-01T00:00:0{at}.500+00:00 level=INFO node=b event=request_finished "
    "request={request} outcome=answered status=200 pool=p tier={tier} first_ms=12\n"
)


@pytest.fixture
def log(tmp_path):
    text = REFUSED.format(at=0, request="r1", tier=1)
    text += FINISHED.format(at=1, request="r2", tier=2)
    text += FINISHED.format(at=2, request="r3", tier=1)
    text += REFUSED.format(at=7, request="r4", tier=2)
    text += FINISHED.format(at=8, request="r5", tier=1)
    path = tmp_path / "log"
    path.write_text(text)
    return path


def test_requests_are_counted_by_window_and_tier(log):
    windows = count_by_window(read_logs([log]))
    assert windows[0, "p", 1].unserved == {"2001": 1}
    assert windows[0, "p", 1].unserved_share == 0.5
    assert windows[0, "p", 2].served == 1
    assert windows[1, "p", 2].unserved == {"2001": 1}


def test_reason_distinguishes_timeouts_from_refusals(tmp_path):
    path = tmp_path / "log"
    line = REFUSED.format(at=0, request="r1", tier=1)
    path.write_text(
        line.replace("pool=p", "detail=silent pool=p")
        + line.replace("pool=p", 'detail="expected_ms=754" reason=late pool=p')
        + line.replace("pool=p", 'detail="expected_ms=754" pool=p')
    )
    window = count_by_window(read_logs([path]))[0, "p", 1]
    assert window.unserved == {"2001/silent": 1, "2001/late": 1, "2001": 1}


def test_only_windows_with_less_urgent_requests_served_are_shown(log, capsys):
    assert main(["urgency", str(log)]) == 0
    shown = capsys.readouterr().out.splitlines()[1:]
    assert len(shown) == 1
    assert shown[0].split()[:4] == ["0", "p", "1", "1"]
    assert shown[0].endswith("2001=1")


def test_logs_without_inversion_are_reported(tmp_path, capsys):
    empty = tmp_path / "log"
    empty.write_text("")
    assert main(["urgency", str(empty)]) == 0
    assert "no request" in capsys.readouterr().out
