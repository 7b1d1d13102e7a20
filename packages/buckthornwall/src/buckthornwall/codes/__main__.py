"""Print the table of result codes that docs/codes.md holds."""

from .core import render_table

print(render_table(), end="")
