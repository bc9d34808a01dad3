"""Starting, monitoring and replacing the processes of one proxy, from a process of its own."""
