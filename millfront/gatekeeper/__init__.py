"""One process of the whole system put together: its parts, its lifecycle, its status and the HTTP API that
it serves to operators, to the platform and to clients that ask where to go."""
