"""The configuration and evacuations: checked documents, admin operations, delivery to subscribers, hints."""
