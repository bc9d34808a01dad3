"""Coordination of a fleet of proxies through a shared store.

Imported only if the settings configure a store.
"""
