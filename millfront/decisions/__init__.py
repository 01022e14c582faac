"""The decisions, split by concern; millfront/choice.py ties them together."""
