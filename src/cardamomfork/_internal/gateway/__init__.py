"""Request path of an entry instance in front of a fleet of targets.

Each package imports only packages that stand before it in this list: `store`,
`state`, `choice`, `connections`, `requests`, `crashes`, `peers`, `paths`,
`queueing`, `serving`, `wiring`. The last one and the modules beside the
packages create and connect the parts. Decisions get the time as an argument and
do no I/O.
"""
