"""Cost of a log line, compared with a plain write of the same line.

``python -m buckthornwall_standins.line_cost`` prints microseconds of one core, each
the minimum of five rounds, and the ratio between the two.
"""

import os
import sys
import time

from buckthornwall.telemetry import TelemetrySettings, configure_logs, log_event, logs
from loguru import logger

__all__ = ["main"]

ROUNDS = 5
LINES = 5_000
NO_LIMIT = 1e9
LINES_PER_REQUEST = 2  # placed and finished


def _log_request_placed() -> None:
    log_event(
        "request_placed",
        request="0123456789abcdef",
        upstream="i-0123456789",
        attempt=1,
        rank=3,
        fresh_tokens=500,
        unread_before=0,
        expected_ms=11,
        in_flight=15,
        in_flight_of_peers=10,
        report_age_ms=1340,
        remaining_ms=14_999,
    )


def _measure_min_us() -> float:
    rounds = []
    for _ in range(ROUNDS):
        started = time.perf_counter()
        for _ in range(LINES):
            _log_request_placed()
        rounds.append((time.perf_counter() - started) / LINES * 1e6)
    return min(rounds)


def main() -> int:
    """Measure and print the costs."""
    with open(os.devnull, "w", encoding="utf-8") as sink:
        logger.remove()
        logger.add(sink, format="time={time} level={level} {message}")
        plain_us = _measure_min_us()
        logs.STDOUT = sink.fileno()
        configure_logs(
            TelemetrySettings(lines_per_s=NO_LIMIT, lines_burst=NO_LIMIT), "n1"
        )
        bounded_us = _measure_min_us()
        configure_logs(TelemetrySettings(lines_per_s=1.0, lines_burst=1.0), "n1")
        left_out_us = _measure_min_us()
        logger.remove()
    print(f"a plain line {plain_us:.0f} us")
    print(f"a bounded line {bounded_us:.0f} us, ratio {bounded_us / plain_us:.2f}")
    print(f"a request's lines {LINES_PER_REQUEST * bounded_us:.0f} us")
    print(f"a line left out {left_out_us:.1f} us")
    return 0


if __name__ == "__main__":
    sys.exit(main())
