"""What the operators set: their file, its checks, and the parts that it switches on."""
