"""What talks to the store that all proxies reach. Imported only where the settings have its block."""
