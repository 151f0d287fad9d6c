"""Length and prefix hashes of a prompt.

The hash of a block chains the hash of the block before it, so two prompts
share a hash only where they share everything up to there. The first is seeded
with the account: accounts never share a cache entry.
"""

from __future__ import annotations

from typing import Any

import msgspec
import xxhash

BYTES_PER_TOKEN = 4
BLOCK_BYTES = 1024
"""Bytes of prompt text that one hash covers: 256 tokens."""


def account_seed(account: str) -> int:
    """Returns the seed of an account's prefix hashes."""
    return xxhash.xxh3_64_intdigest(account.encode())


def estimate_tokens(text: bytes) -> int:
    """Returns the estimated length of a prompt in tokens, at least 1."""
    return max(1, -(-len(text) // BYTES_PER_TOKEN))


def hash_blocks(text: bytes, seed: int) -> tuple[int, ...]:
    """Returns the chained hashes of a prompt's whole blocks."""
    hashes = []
    previous_hash = seed
    view = memoryview(text)
    for start in range(0, len(text) - BLOCK_BYTES + 1, BLOCK_BYTES):
        previous_hash = xxhash.xxh3_64_intdigest(
            view[start : start + BLOCK_BYTES], seed=previous_hash
        )
        hashes.append(previous_hash)
    return tuple(hashes)


def encode_completion_prompt(prompt: Any) -> bytes:
    """Returns the bytes of a completion's checked `prompt`."""
    if isinstance(prompt, str):
        return prompt.encode(errors="replace")
    if isinstance(prompt, list) and prompt and isinstance(prompt[0], str):
        return "\n".join(prompt).encode(errors="replace")
    tokens = (
        prompt
        if _is_single_token_list(prompt)
        else [t for p in prompt for t in p]
    )
    return b"".join(t.to_bytes(BYTES_PER_TOKEN, "big") for t in tokens)


def encode_chat_messages(messages: list[Any]) -> bytes:
    """Returns the bytes of a chat's checked `messages`, in order."""
    parts = []
    for message in messages:
        parts.append(message["role"].encode(errors="replace"))
        content = message.get("content")
        if isinstance(content, str):
            parts.append(content.encode(errors="replace"))
        elif content is not None:
            parts.append(msgspec.json.encode(content))
    return b"\n".join(parts)


def _is_single_token_list(prompt: list[Any]) -> bool:
    """Tells a list of tokens from a list of lists of tokens."""
    return not isinstance(prompt[0], list)
