"""Descriptions of applications, and the sidecar configuration that follows from them."""
