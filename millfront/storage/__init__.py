"""Data that a process stores on its local disk."""
