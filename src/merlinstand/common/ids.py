"""Typed identifiers.

`NewType` costs nothing at run time; it keeps the checker from taking one name for another.
"""

from typing import NewType

NodeId = NewType("NodeId", str)
"""Name of a daemon or stand-in process, unique in a deployment (`gateway-hall-a-1`)."""

RequestId = NewType("RequestId", str)
"""Host-made name of one HTTP request received by a process."""

CallId = NewType("CallId", str)
"""Reducer-made name of one HTTP request sent by a process."""

CommandId = NewType("CommandId", str)
"""Client-made name of a command; a resend under the same name is harmless."""

BackendId = NewType("BackendId", str)
"""One server of a pool, unique in a deployment (`blurb-llm-1`)."""

Zone = NewType("Zone", str)
ContentDigest = NewType("ContentDigest", str)
"""What a request asks, in hexadecimal digits: equal for all tries of the same request."""
