"""Tests that logging is rate-limited, and that a stalled reader does not block it."""

import os
import time

import pytest
from loguru import logger

from buckthornwall.telemetry import TelemetrySettings, logs
from buckthornwall.telemetry.limits import LineLimiter
from buckthornwall.telemetry.output import PipeWriter

LINES = 5_000


@pytest.fixture
def pipe():
    """Return the read and write ends of a pipe that is not read yet."""
    reader, writer = os.pipe()
    yield reader, writer
    os.close(reader)
    os.close(writer)


def test_stalled_reader_does_not_block_writer(pipe):
    reader, descriptor = pipe
    writer = PipeWriter(descriptor)
    started = time.monotonic()
    for _ in range(LINES):
        writer.write("event=x detail=" + "y" * 100 + "\n")
    assert time.monotonic() - started < 2.0
    assert 0 < writer.dropped < LINES
    dropped = writer.dropped
    os.read(reader, 1 << 20)
    writer.write("event=again\n")
    text = os.read(reader, 1 << 20).decode()
    assert text.endswith(f"event=lines_dropped count={dropped}\nevent=again\n")


def test_long_lines_are_truncated_not_split(pipe):
    reader, descriptor = pipe
    writer = PipeWriter(descriptor)
    for _ in range(LINES):
        writer.write("event=x detail=" + "y" * 9_000 + "\n")
    lines = os.read(reader, 1 << 20).split(b"\n")
    assert lines[-1] == b""
    assert {len(line) for line in lines[:-1]} == {4095}


def test_closed_reader_does_not_raise():
    reader, descriptor = os.pipe()
    os.close(reader)
    writer = PipeWriter(descriptor)
    writer.write("event=x\n")
    os.close(descriptor)
    assert writer.dropped == 1


def test_limiter_bounds_each_kind_and_counts_suppressed_lines(clock):
    limiter = LineLimiter(clock, lines_per_s=10, burst=5)
    assert sum(limiter.allow("many") for _ in range(100)) == 5
    assert limiter.allow("failure")
    assert limiter.take_suppressed("many") == 95
    assert limiter.take_suppressed("many") == 0
    clock.time += 1
    assert sum(limiter.allow("many") for _ in range(100)) == 5


def test_next_line_has_count_of_suppressed_lines(clock, monkeypatch):
    logged = []
    logger.remove()
    handler = logger.add(lambda text: logged.append(str(text)), format="{message}")
    monkeypatch.setattr(logs._InstalledLimiter, "limiter", LineLimiter(clock, 1, 1))
    for _ in range(4):
        logs.log_event("many", value=1)
    clock.time += 1
    logs.log_event("many", value=2)
    logger.remove(handler)
    assert [line.strip() for line in logged] == [
        "event=many value=1",
        "event=many value=2 left_out=3",
    ]


def test_each_line_has_instance_name(pipe, monkeypatch):
    reader, descriptor = pipe
    monkeypatch.setattr(logs, "STDOUT", descriptor)
    monkeypatch.setattr(logs._InstalledLimiter, "limiter", None)
    logs.configure_logs(TelemetrySettings(), "n1")
    logs.log_event("ready")
    logger.remove()
    assert b" level=INFO node=n1 event=ready\n" in os.read(reader, 4096)
