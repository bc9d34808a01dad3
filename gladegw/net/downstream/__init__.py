"""Downstream side: connections from clients, their requests and responses."""
