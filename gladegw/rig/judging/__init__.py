"""What each party wrote down, and what it means."""
