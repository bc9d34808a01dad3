"""Upstream side: connections to backends and the exchanges on them."""
