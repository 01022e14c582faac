"""Service discovery: the platform's list of servers, and the copy of it that all processes share."""
