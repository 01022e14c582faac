"""The postmaster (control plane): what may speak for a majority. Pure; imports only downwards.

`values` and quorums, the `keeper` (replica) on each core machine, the `clerk` (coordinator) in any process,
`window` (operators' orders and questions), `postings` and `seats` (membership of the core), `recovery` (a
lost disk, a member that was away), `rounds` (delivery and leases), `pieces` and `differences` (long texts),
`restante` (hinted hand-off), `snapshot`.
"""
