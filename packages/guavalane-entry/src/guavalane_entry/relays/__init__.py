"""Changes of the object API that a few nodes pass on to the others.

In a large fleet a few relays follow the object API and all other nodes follow
a relay, since each change would otherwise cost a call of every node.
"""
