"""The backends' side: connections to backends and the exchanges on them."""
