"""Creates the parts of an entry instance and connects them.

Each module creates the parts of one side. Parts that react to a change of
another side are connected by `notifications`. Imports all other packages of the
gateway.
"""
