"""Request path of an entry instance in front of a fleet of targets.

Each package imports only packages that stand before it in this list: `store`,
`state`, `choice`, `connections`, `requests`, `crashes`, `peers`, `paths`,
`queueing`, `serving`. The modules beside them wire the parts. Decisions get the
time as an argument and do no I/O.
"""
