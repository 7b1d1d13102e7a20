"""Print the page docs/settings.md."""

from .core import render_table

print(render_table(), end="")
