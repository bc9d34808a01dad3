"""Stand-in nodes and discovery, and the settings of the proxies before them."""
