"""Long measurements, run by hand; the tests use their rigs with smaller numbers."""
