"""The postmaster (control plane): what may speak for a majority. Pure; imports only downwards.

`values` and quorums, the `keeper` (replica) on each core machine, the `clerk` (coordinator) in any process,
`postings` (membership of the core), `rounds` (delivery and leases), `restante` (hinted hand-off), `snapshot`.
"""
