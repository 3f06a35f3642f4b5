"""The CEL library without its command line.

`import cel` loads `cel.cli` too, and with it rich, prompt_toolkit and typer: 12 MB that no
daemon needs. An empty module in its place keeps them out.
"""

import sys
import types

sys.modules.setdefault("cel.cli", types.ModuleType("cel.cli"))

import cel  # noqa: E402

__all__ = ["cel"]
