"""Which servers there are: the platform's list, and the picture of it that all processes share."""
