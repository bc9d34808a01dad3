"""Resource budgets, request timeouts and connection eviction, without I/O, clock or randomness."""
