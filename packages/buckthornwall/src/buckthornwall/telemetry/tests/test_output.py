"""Tests that logging is bounded, and that no reader can stall it."""

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
    """Return both ends of a pipe that nobody reads yet."""
    reader, writer = os.pipe()
    yield reader, writer
    os.close(reader)
    os.close(writer)


def test_a_reader_that_stops_never_stalls_the_writer(pipe):
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


def test_every_line_that_is_written_is_whole(pipe):
    reader, descriptor = pipe
    writer = PipeWriter(descriptor)
    for _ in range(LINES):
        writer.write("event=x detail=" + "y" * 9_000 + "\n")
    lines = os.read(reader, 1 << 20).split(b"\n")
    assert lines[-1] == b""
    assert {len(line) for line in lines[:-1]} == {4095}


def test_a_writer_without_a_reader_goes_on():
    reader, descriptor = os.pipe()
    os.close(reader)
    writer = PipeWriter(descriptor)
    writer.write("event=x\n")
    os.close(descriptor)
    assert writer.dropped == 1


def test_a_kind_is_bounded_and_says_what_it_left_out(clock):
    limiter = LineLimiter(clock, lines_per_s=10, burst=5)
    assert sum(limiter.allow("many") for _ in range(100)) == 5
    assert limiter.allow("failure")
    assert limiter.take_suppressed("many") == 95
    assert limiter.take_suppressed("many") == 0
    clock.time += 1
    assert sum(limiter.allow("many") for _ in range(100)) == 5


def test_the_count_of_what_was_left_out_stands_on_the_next_line(clock, monkeypatch):
    found = []
    logger.remove()
    handler = logger.add(lambda text: found.append(str(text)), format="{message}")
    monkeypatch.setattr(logs._InstalledLimiter, "limiter", LineLimiter(clock, 1, 1))
    for _ in range(4):
        logs.log_event("many", value=1)
    clock.time += 1
    logs.log_event("many", value=2)
    logger.remove(handler)
    assert [line.strip() for line in found] == [
        "event=many value=1",
        "event=many value=2 left_out=3",
    ]


def test_each_line_names_its_instance(pipe, monkeypatch):
    reader, descriptor = pipe
    monkeypatch.setattr(logs, "STDOUT", descriptor)
    monkeypatch.setattr(logs._InstalledLimiter, "limiter", None)
    logs.configure_logs(TelemetrySettings(), "n1")
    logs.log_event("ready")
    logger.remove()
    assert b" level=INFO node=n1 event=ready\n" in os.read(reader, 4096)
