"""Whether all gatekeepers act on the same version of their settings (docs/design/agreement.md). Only imported
where the operators' file enables agreement.
"""
