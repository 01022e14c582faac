"""Fleet-wide tenant quotas: each request needs a token, and only the members of the core grant tokens.

The members of the core divide each tenant's allowance among themselves (`share`) and keep their shares in
token buckets (`granter`); every process requests tokens from them (`requester`). A token is granted once
and expires soon after, so the buckets alone bound the requests that all processes admit, whatever a process
knows of the others. No I/O and no clock in any module. docs/design/admission.md has the bound.
"""
