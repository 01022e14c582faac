"""Usage records for billing: a durable ledger on the local disk and its exactly-once export."""
