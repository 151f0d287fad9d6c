"""Token estimates and prefix hashes of prompts.

Each block's hash is seeded with the hash of the previous block, so two prompts
share a block hash only if they are identical up to the end of that block. The
first block is seeded with the account, so accounts never share cache entries.
"""

from __future__ import annotations

from typing import Any

import msgspec
import xxhash

BYTES_PER_TOKEN = 4
BLOCK_BYTES = 1024
"""Prompt bytes that one hash covers, about 256 tokens."""


def account_seed(account: str) -> int:
    """Returns the seed of an account's prefix hashes."""
    return xxhash.xxh3_64_intdigest(account.encode())


def estimate_tokens(text: bytes) -> int:
    """Returns the estimated length of a prompt in tokens, at least 1."""
    return max(1, -(-len(text) // BYTES_PER_TOKEN))


def hash_blocks(text: bytes, seed: int) -> tuple[int, ...]:
    """Returns the chained hashes of a prompt's full blocks."""
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
    """Returns the bytes of a completion's validated `prompt`."""
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
    """Returns the bytes of a chat completion's validated `messages`."""
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
    """Returns whether a prompt is one token list, not a list of lists."""
    return not isinstance(prompt[0], list)
