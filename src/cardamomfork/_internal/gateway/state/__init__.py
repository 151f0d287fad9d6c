"""What this instance knows: configuration, targets, load, limits, crashes.

Plain objects that take the time as an argument. Imports `store`.
"""
