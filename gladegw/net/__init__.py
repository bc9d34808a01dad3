"""The real proxy: sockets on one side, events and actions of the balancer on the other."""
