"""A serving layer for LLM inference with prompts of very different lengths.

The public interface consists of the programs `cardamomforkd` and
`cardamomfork` and the package `cardamomfork.coordination`. Everything under
`_internal` may change without notice.
"""

__version__ = "0.1.0"
