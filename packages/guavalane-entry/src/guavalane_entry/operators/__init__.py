"""Server for operators, and reports of a node's state."""
