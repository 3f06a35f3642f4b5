"""Typed identifiers.

`NewType` lets the type checker tell them apart, at no cost at run time.
"""

from typing import NewType

NodeId = NewType("NodeId", str)
"""Identifies a process (daemon or stand-in), unique in a deployment (`gateway-hall-a-1`)."""

RequestId = NewType("RequestId", str)
"""Identifies an HTTP request that a process received; assigned by its host."""

CallId = NewType("CallId", str)
"""Identifies an HTTP request that a process sends; assigned by its reducer."""

CommandId = NewType("CommandId", str)
"""Identifies a command; assigned by the client. Resending under the same id is idempotent."""

BackendId = NewType("BackendId", str)
"""Identifies a backend of a pool, unique in a deployment (`blurb-llm-1`)."""

Zone = NewType("Zone", str)
ContentDigest = NewType("ContentDigest", str)
"""Hexadecimal digest of a request's content, equal for all attempts at the same request."""
