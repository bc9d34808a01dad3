"""The network side of the proxy: translates between sockets and the balancer's events and actions."""
