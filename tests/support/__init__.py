"""Helpers that several tests share."""
