"""Live plans: which customer is on which plan at what time, and how allowances carry over on a change."""
