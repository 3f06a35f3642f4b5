"""Imports the CEL library without its command line.

`import cel` also loads `cel.cli`, and with it rich, prompt_toolkit and typer: 12 MB that no
daemon needs. An empty module registered in its place avoids this.
"""

import sys
import types

sys.modules.setdefault("cel.cli", types.ModuleType("cel.cli"))

import cel  # noqa: E402

__all__ = ["cel"]
