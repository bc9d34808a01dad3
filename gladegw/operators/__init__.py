"""What operators ask of a running proxy: calls, numbers and its life-cycle. Pure."""
