"""The story of one request, from the logs of all instances."""

from pathlib import Path

from buckthornwall.codes import ResultCode

from .log_lines import LogLine, read_logs

__all__ = ["request_story"]

# What an instance believed matters only this long before a request came in.
BELIEF_S = 5.0
BELIEFS = frozenset(
    {
        "config_adopted",
        "upstream_set_aside",
        "upstream_back",
        "upstream_state",
        "upstream_gone",
        "store_lost",
        "store_regained",
        "peer_lost",
        "budget_spent",
        "stopping",
        "starting",
    }
)


# What was found of the same request matters whenever and wherever it was.
FINDINGS = frozenset({"request_suspected", "request_quarantined", "quarantine_lifted"})


def request_story(request: str, paths: list[Path]) -> list[str]:
    """Return what the logs tell of a request, in order over all instances.

    What its instances came to believe of its upstreams, of the store or of the
    configuration in the five seconds before stands between, and what any instance found
    of the same request.

    Parameters
    ----------
    request
        The request's id.
    paths
        Log files, of any number of instances.

    Raises
    ------
    SettingsError
        SETTINGS_UNREADABLE if a file cannot be read.
    """
    lines = list(read_logs(paths))
    own = [line for line in lines if line.pairs.get("request") == request]
    if not own:
        return []
    first = min(line.at for line in own)
    last = max(line.at for line in own)
    nodes = {line.pairs.get("node") for line in own}
    upstreams = {line.pairs["upstream"] for line in own if "upstream" in line.pairs}
    same = {line.pairs["fingerprint"] for line in own if "fingerprint" in line.pairs}
    around = [
        line
        for line in lines
        if line.pairs["event"] in BELIEFS
        and line.pairs.get("node") in nodes
        and line.pairs.get("upstream", "") in upstreams | {""}
        and (line.at - first).total_seconds() >= -BELIEF_S
        and line.at <= last
    ]
    findings = [
        line
        for line in lines
        if line.pairs["event"] in FINDINGS
        and line.pairs.get("fingerprint") in same
        and line.at <= last
    ]
    story = sorted(own + around + findings, key=lambda line: line.at)
    return [line.told(first) for line in story] + _meaning(own)


def _meaning(own: list[LogLine]) -> list[str]:
    """Return what the last code of a request means."""
    codes = [line.pairs["code"] for line in own if "code" in line.pairs]
    for code in ResultCode:
        if codes and str(code.number) == codes[-1]:
            return [f"{code.number} {code.name}: {code.meaning}; {code.action}"]
    return []
