"""Rules by which requests, streams, items and scoring calls are sent, held, tried again, refused.

Pure decisions: plain data in, a typed decision out. The forwarders and the keepers' runner act on
them and keep only their own state.
"""
