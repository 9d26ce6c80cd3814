"""Relays, which distribute changes of the object API to other nodes.

In a large fleet, a few relays watch the object API and all other nodes follow a
relay. Otherwise each change would cost one call per node.
"""
