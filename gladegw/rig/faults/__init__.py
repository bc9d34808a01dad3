"""What breaks: the script of a scenario, the links between processes, the store beside them."""
