"""Routes and pools: which requests go where, decided without I/O, clock or randomness of its own."""
