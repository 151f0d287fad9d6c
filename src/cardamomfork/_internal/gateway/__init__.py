"""The request path of an entry instance in front of a fleet of targets.

Objects that decide take time as an argument and do no I/O: `routes`,
`engine_timing`, `load_view`, `placement`, `retry_budget`, `target_table`,
`event_stream`. The rest does the I/O that they ask for.
"""
