"""Live plans: who holds which plan when, and what becomes of the allowance on a change."""
