"""Tests of the command line that the soaks have in common."""

import errno

import pytest
import trio

from buckthornwall_standins.soak_run import make_parser, run_seeds


class FailingSoak:
    """A soak whose load fails with an error of the operating system."""

    def __init__(self, code):
        self.code = code

    async def run(self):
        async with trio.open_nursery():
            raise OSError(self.code, "failed")


def run(code, tmp_path):
    options = make_parser("A soak.", 1.0, 7999).parse_args(["--logs", str(tmp_path)])
    run_seeds(options, lambda settings: FailingSoak(code), lambda soak: [])


def test_address_in_use_is_reported_in_one_line(tmp_path):
    with pytest.raises(SystemExit, match="address in use.*7999"):
        run(errno.EADDRINUSE, tmp_path)


def test_other_errors_keep_their_traceback(tmp_path):
    with pytest.raises(ExceptionGroup):
        run(errno.ENOSPC, tmp_path)


def test_only_logs_of_the_same_seed_are_replaced(tmp_path):
    for name in ("seed-1/node-1.log", "seed-2/node-1.log"):
        path = tmp_path / name
        path.parent.mkdir()
        path.write_text("earlier")
    with pytest.raises(SystemExit):
        run(errno.EADDRINUSE, tmp_path)
    assert not (tmp_path / "seed-1/node-1.log").exists()
    assert (tmp_path / "seed-2/node-1.log").exists()
