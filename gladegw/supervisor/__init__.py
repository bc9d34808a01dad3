"""One proxy's processes, started, watched and replaced. Beside the proxy, in a process of its own."""
