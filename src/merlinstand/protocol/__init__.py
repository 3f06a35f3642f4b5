"""The internal protocol: thrift messages, their registry and their encoding.

`idl/` defines the messages, from which tools/generate_protocol.sh generates `generated/`.
`registry` lists the messages that may be sent, and `codec` encodes and decodes them. Connections
and framing are implemented in `runtime/transport`.
"""
