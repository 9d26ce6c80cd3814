"""Coordination logic of guavalane, independent of sockets and HTTP."""
