"""Operation keys: of all requests with one key a single one runs, and its answer is given to the others."""
