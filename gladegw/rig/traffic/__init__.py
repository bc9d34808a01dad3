"""What clients send, in good manners and bad, and what they saw of it."""
