"""Operation keys: of all requests with the same key only one runs, and repeats receive its answer."""
