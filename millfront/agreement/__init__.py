"""Versions of the documents that steer decisions, and whether the gatekeepers act on the same ones: what is
decided, without I/O (docs/design/agreement.md). The daemon imports it only where the operators' file
switches agreement on.
"""
