"""Changes of one value of a decoded message to an extreme one."""

import math

__all__ = ["EXTREMES", "mutate", "paths"]

EXTREMES = [
    *(-1, 0, 1, 255, 256, 65_535, 65_536, 2**31, 2**53, 2**53 + 1),
    *(2**63 - 1, 2**63, 2**64, 10**400),
    *(math.nan, math.inf, -math.inf, 1e308, 5e-324),
    *("", "x", "x" * 3000, "127.0.0.1:99999", "10.0.0.2:7340", "\0\n\ud7ff"),
    *(None, True, False, [], {}, b"", b"\xff" * 50, [[]], {"a": 1}),
]


def paths(value, prefix=()):
    """Yield the paths to all values inside a list or dictionary, and to its keys."""
    if prefix:
        yield prefix
    if isinstance(value, dict):
        for key, child in value.items():
            yield (*prefix, ("key", key))
            yield from paths(child, (*prefix, ("value", key)))
    elif isinstance(value, list | tuple):
        for index, child in enumerate(value):
            yield from paths(child, (*prefix, ("value", index)))


def mutate(value, path, extreme):
    """Return a copy with the value, or the key, at a path replaced."""
    if not path:
        return extreme
    (kind, key), *rest = path
    copy = dict(value) if isinstance(value, dict) else list(value)
    if kind == "key":
        name = extreme if isinstance(extreme, str | int | float) else "renamed"
        copy[name] = copy.pop(key)
    else:
        copy[key] = mutate(copy[key], rest, extreme)
    return copy
