"""Print the page docs/codes.md."""

from .core import render_table

print(render_table(), end="")
