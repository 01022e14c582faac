"""Configuration and evacuations: documents, admin operations, delivery to subscribers, hinted handoff."""
