"""What a process keeps on its disk."""
