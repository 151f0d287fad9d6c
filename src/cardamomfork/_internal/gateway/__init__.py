"""Request path of an entry instance in front of a fleet of targets.

The modules that make decisions get the time as an argument and do no I/O:
`routes`, `engine_timing`, `load_view`, `placement`, `retry_budget`,
`target_table` and `event_stream`. The other modules do the I/O.
"""
