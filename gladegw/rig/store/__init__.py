"""A stand-in for the store: several members by a stated model of leader and followers, and their faults."""
