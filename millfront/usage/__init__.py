"""Usage for billing: a durable ledger on the local disk and its once-only export."""
