"""The same examples every time: CI gives one verdict on one text."""

from hypothesis import settings

settings.register_profile("same", derandomize=True)
settings.load_profile("same")
