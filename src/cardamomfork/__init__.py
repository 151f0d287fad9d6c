"""A serving layer for prompts of widely differing lengths on one fleet.

The public face is narrow: the two programs (`cardamomforkd` and
`cardamomfork`) and the parts in `cardamomfork.coordination`. Everything under
`_internal` may change without notice.
"""

__version__ = "0.1.0"
