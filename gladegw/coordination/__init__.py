"""Decisions that several processes make together, without I/O, clock or randomness.

Leases, duties, two-phase commit of policies, rollouts with canary analysis, and process supervision.
"""
