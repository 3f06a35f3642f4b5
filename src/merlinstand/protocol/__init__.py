"""The internal protocol: thrift messages, their registry and their framing."""
