"""The internal protocol: thrift messages, their registry and their framing.

`idl/` defines the messages and `generated/` is made from it (tools/generate_protocol.sh);
`registry` says which may travel, `codec` encodes and decodes one. Connections and frames are
`runtime/transport`'s.
"""
