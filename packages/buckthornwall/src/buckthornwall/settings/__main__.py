"""Print the table of settings that docs/settings.md holds."""

from .core import render_table

print(render_table(), end="")
