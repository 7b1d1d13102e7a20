"""Tests of the operator commands."""

import msgspec
import pytest
from buckthornwall.conftest import make_records
from buckthornwall.records import parse_records

from buckthornwall_ctl.checks import describe_change
from buckthornwall_ctl.main import main

SETTINGS = """
[node]
id = n1
zone = z
[gateway]
listen = 127.0.0.1:1
[operators]
listen = 127.0.0.1:2
[platform]
address = 127.0.0.1:3
[links]
listen = 127.0.0.1:4
peer_secret = s
"""


def write(folder, name, text):
    path = folder / name
    path.write_text(text, encoding="utf-8")
    return str(path)


def test_valid_settings_pass(tmp_path, capsys):
    assert main(["check-settings", write(tmp_path, "a.ini", SETTINGS)]) == 0
    assert "n1" in capsys.readouterr().out


def test_invalid_settings_name_file_section_and_key(tmp_path, capsys):
    text = SETTINGS.replace("zone = z", "zone = z\ncolour = red")
    assert main(["check-settings", write(tmp_path, "a.ini", text)]) == 1
    error = capsys.readouterr().err
    assert "6001" in error
    assert "a.ini [node] colour" in error


def test_missing_file_is_reported_with_code(tmp_path, capsys):
    assert main(["check-settings", str(tmp_path / "none")]) == 1
    assert "6004" in capsys.readouterr().err
    assert main(["check-records", str(tmp_path / "none")]) == 1
    assert "5005" in capsys.readouterr().err


def test_valid_records_pass_and_invalid_name_the_field(tmp_path, capsys):
    good = msgspec.json.encode(make_records(4)).decode()
    assert main(["check-records", write(tmp_path, "good.json", good)]) == 0
    assert "number 4" in capsys.readouterr().out
    bad = msgspec.json.encode(make_records(urgent={"tier": -1})).decode()
    assert main(["check-records", write(tmp_path, "bad.json", bad)]) == 1
    assert "$.tier" in capsys.readouterr().err


def test_unreachable_instance_exits_with_3(tmp_path, capsys):
    good = msgspec.json.encode(make_records(4)).decode()
    path = write(tmp_path, "good.json", good)
    assert main(["check-records", path, "--against", "127.0.0.1:1"]) == 3


def test_changed_records_are_listed():
    old = parse_records(msgspec.json.encode(make_records(1)))
    changed = make_records(2, low={"weight": 5})
    changed["records"] = [each for each in changed["records"] if each["id"] != "e2"]
    changed["records"].append({"kind": "model", "schema": 2, "id": "new"})
    new = parse_records(msgspec.json.encode(changed))
    assert describe_change(old, new) == ["~ class low", "+ model new", "- upstream e2"]


@pytest.mark.parametrize("word", ["2001", "overloaded"])
def test_explain_result_code(word, capsys):
    assert main(["explain", word]) == 0
    assert "2001 OVERLOADED (HTTP 429)" in capsys.readouterr().out


def test_explain_unknown_code_exits_with_1(capsys):
    assert main(["explain", "9999"]) == 1


def test_wrong_usage_exits_with_2():
    with pytest.raises(SystemExit) as caught:
        main(["no-such-command"])
    assert caught.value.code == 2


REQUEST_LOG = """\
   1.0 a time=2026-01-01T00:00:01.000+00:00 level=INFO node=a event=config_adopted \
number=4
time=2026-01-01T00:00:02.100+00:00 level=WARNING node=b event=request_refused \
request=r2 code=2001 status=429 detail=""
time=2026-01-01T00:00:02.000+00:00 level=WARNING node=a event=attempt_failed \
request=r1 upstream=e1 end=broken detail="reset by peer"
time=2026-01-01T00:00:01.900+00:00 level=WARNING node=a event=upstream_set_aside \
upstream=e1
time=2026-01-01T00:00:01.950+00:00 level=WARNING node=a event=upstream_set_aside \
upstream=e9
time=2026-01-01T00:00:02.200+00:00 level=WARNING node=a event=request_refused \
request=r1 code=3002 status=502 run=unknown
"""


def test_request_timeline_is_ordered_and_includes_context_events(tmp_path, capsys):
    log = write(tmp_path, "log", REQUEST_LOG)
    assert main(["explain", "r1", str(log)]) == 0
    lines = capsys.readouterr().out.splitlines()
    events = [line.split()[3] for line in lines[:4]]
    assert events == [
        "config_adopted",
        "upstream_set_aside",
        "attempt_failed",
        "request_refused",
    ]
    assert 'detail="reset by peer"' in lines[2]
    assert lines[4].startswith("3002 UPSTREAM_BROKEN")


QUARANTINE_LOG = """\
time=2026-01-01T00:00:01.000+00:00 level=WARNING node=b event=request_suspected \
fingerprint=0a crashes=3
time=2026-01-01T00:00:01.100+00:00 level=WARNING node=b event=request_suspected \
fingerprint=0b crashes=3
time=2026-01-01T00:01:00.000+00:00 level=WARNING node=a event=request_refused \
request=r1 fingerprint=0a code=2007 status=503 run=no
"""


def test_quarantine_events_of_same_fingerprint_precede_refusal(tmp_path, capsys):
    assert main(["explain", "r1", str(write(tmp_path, "log", QUARANTINE_LOG))]) == 0
    lines = capsys.readouterr().out.splitlines()
    events = [line.split()[3] for line in lines[:-1]]
    assert events == ["request_suspected", "request_refused"]
    assert lines[-1].startswith("2007 REQUEST_QUARANTINED")


def test_request_without_log_lines_is_reported(tmp_path, capsys):
    assert main(["explain", "nobody", str(write(tmp_path, "log", REQUEST_LOG))]) == 1
    assert "no line of request" in capsys.readouterr().err


ROUTER_SETTINGS = """
[node]
id = n1
zone = z
[edge]
listen = 127.0.0.1:1
ready = 127.0.0.1:2
metrics = 127.0.0.1:3
[store]
address = 127.0.0.1:4
[peers]
listen = 127.0.0.1:5
"""


@pytest.mark.parametrize(
    ("old", "new", "code"),
    [
        ("[store]\naddress = 127.0.0.1:4\n", "", "6003"),
        ("listen = 127.0.0.1:1", "listen = here", "6002"),
        ("[peers]\n", "[peers]\nunknown = 1\n", "6001"),
        ("[store]", "[stop]\ngrace_s = 1\n[store]", "6002"),
    ],
)
def test_router_settings_are_checked(tmp_path, capsys, old, new, code):
    good = write(tmp_path, "good", ROUTER_SETTINGS)
    assert main(["check-settings", str(good)]) == 0
    bad = write(tmp_path, "bad", ROUTER_SETTINGS.replace(old, new))
    assert main(["check-settings", str(bad)]) == 1
    assert code in capsys.readouterr().err
