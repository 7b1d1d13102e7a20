"""Timeline of one request, from the logs of all instances."""

from pathlib import Path

from buckthornwall.codes import ResultCode

from .log_lines import LogLine, read_logs

__all__ = ["request_timeline"]

# How long before the request's first line context events are shown.
CONTEXT_WINDOW_S = 5.0
CONTEXT_EVENTS = frozenset(
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


# Shown for the request's fingerprint, from any instance and however long before.
QUARANTINE_EVENTS = frozenset(
    {"request_suspected", "request_quarantined", "quarantine_lifted"}
)


def request_timeline(request: str, paths: list[Path]) -> list[str]:
    """Return the log lines of a request from all instances, in order of time.

    Changes in what its instances knew of its upstreams, of the store or of the
    configuration, from five seconds before the request on, are included, and quarantine
    events of the same fingerprint from any instance.

    Parameters
    ----------
    request
        Id of the request.
    paths
        Log files of any number of instances.

    Raises
    ------
    SettingsError
        SETTINGS_UNREADABLE if a file cannot be read.
    """
    lines = list(read_logs(paths))
    request_lines = [line for line in lines if line.fields.get("request") == request]
    if not request_lines:
        return []
    first = min(line.at for line in request_lines)
    last = max(line.at for line in request_lines)
    nodes = {line.fields.get("node") for line in request_lines}
    upstreams = {
        line.fields["upstream"] for line in request_lines if "upstream" in line.fields
    }
    fingerprints = {
        line.fields["fingerprint"]
        for line in request_lines
        if "fingerprint" in line.fields
    }
    context = [
        line
        for line in lines
        if line.fields["event"] in CONTEXT_EVENTS
        and line.fields.get("node") in nodes
        and line.fields.get("upstream", "") in upstreams | {""}
        and (line.at - first).total_seconds() >= -CONTEXT_WINDOW_S
        and line.at <= last
    ]
    quarantine_lines = [
        line
        for line in lines
        if line.fields["event"] in QUARANTINE_EVENTS
        and line.fields.get("fingerprint") in fingerprints
        and line.at <= last
    ]
    timeline = sorted(
        request_lines + context + quarantine_lines, key=lambda line: line.at
    )
    return [line.format(first) for line in timeline] + _explain_last_code(request_lines)


def _explain_last_code(request_lines: list[LogLine]) -> list[str]:
    """Return the meaning of the last result code of a request."""
    codes = [line.fields["code"] for line in request_lines if "code" in line.fields]
    for code in ResultCode:
        if codes and str(code.number) == codes[-1]:
            return [f"{code.number} {code.name}: {code.meaning}; {code.action}"]
    return []
