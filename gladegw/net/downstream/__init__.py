"""The callers' side: connections from clients, their requests and responses."""
