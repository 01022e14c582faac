"""The operators' own configuration file, its validation, and the parts that it enables."""
