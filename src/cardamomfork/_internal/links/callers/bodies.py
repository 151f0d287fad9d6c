"""Validates request bodies; reports every error with its JSON path."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

import attrs
import msgspec
import result

from cardamomfork._internal.links.callers import prompts
from cardamomfork._internal.models import findings
from cardamomfork._internal.models import requests

if TYPE_CHECKING:
    from collections.abc import Iterator

DEFAULT_MAX_TOKENS = 256
MAX_GENERATED_TOKENS = 1_048_576
MAX_TOKEN_ID = 2**31
MAX_FINDINGS = 50
ROLES = frozenset(
    {"system", "developer", "user", "assistant", "tool", "function"}
)


@attrs.frozen
class CheckedBody:
    """The fields of a valid body that routing and limits need.

    Attributes:
        model: Model or `model:adapter`; empty for a call.
        text: Bytes of the prompt, for token estimates and prefix hashes.
        max_tokens: Maximum tokens to generate.
        stream: Whether the caller requested server-sent events.
    """

    model: str = ""
    text: bytes = attrs.field(default=b"", repr=False)
    max_tokens: int = 0
    stream: bool = False


def check(
    api: requests.Api, body: bytes
) -> result.Result[CheckedBody, list[findings.Finding]]:
    """Validates a body; returns its fields, or all findings."""
    try:
        decoded = msgspec.json.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        return result.Err([_make_finding("$", f"is not valid JSON: {error}")])
    if not isinstance(decoded, dict):
        return result.Err([_make_finding("$", "must be a JSON object")])
    if api is requests.Api.CALL:
        return result.Ok(CheckedBody(text=body))
    input_findings = list(_check_common(decoded))
    if api is requests.Api.CHAT:
        input_findings += _check_messages(decoded)
    else:
        input_findings += _check_prompt(decoded)
    if input_findings:
        return result.Err(input_findings[:MAX_FINDINGS])
    return result.Ok(_read_fields(api, decoded))


def _read_fields(api: requests.Api, decoded: dict[str, Any]) -> CheckedBody:
    """Extracts the fields of a valid body."""
    if api is requests.Api.CHAT:
        text = prompts.encode_chat_messages(decoded["messages"])
    else:
        text = prompts.encode_completion_prompt(decoded["prompt"])
    max_tokens = decoded.get("max_completion_tokens") or decoded.get(
        "max_tokens"
    )
    return CheckedBody(
        model=decoded["model"],
        text=text,
        max_tokens=max_tokens or DEFAULT_MAX_TOKENS,
        stream=bool(decoded.get("stream")),
    )


def _check_common(decoded: dict[str, Any]) -> Iterator[findings.Finding]:
    """Checks the fields that completions and chat completions share."""
    model = decoded.get("model")
    if "model" not in decoded:
        yield _make_finding("$.model", "is missing")
    elif not isinstance(model, str) or not model:
        yield _make_finding("$.model", "must be a non-empty string")
    if not isinstance(decoded.get("stream"), bool | None):
        yield _make_finding("$.stream", "must be true or false")
    for name in ("max_tokens", "max_completion_tokens"):
        value = decoded.get(name)
        if value is None:
            continue
        if not _is_int(value) or not 1 <= value <= MAX_GENERATED_TOKENS:
            yield _make_finding(
                f"$.{name}",
                f"must be an integer from 1 to {MAX_GENERATED_TOKENS}",
            )
    for name in ("temperature", "top_p"):
        value = decoded.get(name)
        if value is not None and (
            isinstance(value, bool) or not isinstance(value, int | float)
        ):
            yield _make_finding(f"$.{name}", "must be a number")


def _check_prompt(decoded: dict[str, Any]) -> Iterator[findings.Finding]:
    """Checks a completion's prompt: string, strings, tokens or token lists."""
    prompt = decoded.get("prompt")
    if "prompt" not in decoded:
        yield _make_finding("$.prompt", "is missing")
    elif isinstance(prompt, list):
        yield from _check_prompt_list(prompt)
    elif not isinstance(prompt, str):
        yield _make_finding("$.prompt", "must be a string or a list")


def _check_prompt_list(prompt: list[Any]) -> Iterator[findings.Finding]:
    """Checks that all items of a prompt list have the same allowed type."""
    if not prompt:
        yield _make_finding("$.prompt", "must not be empty")
        return
    item_kind = "tokens"
    if isinstance(prompt[0], str):
        item_kind = "strings"
    elif isinstance(prompt[0], list):
        item_kind = "lists of tokens"
    item_checks = {
        "tokens": _is_token,
        "strings": lambda item: isinstance(item, str),
        "lists of tokens": _is_token_list,
    }
    for index, item in enumerate(prompt):
        if not item_checks[item_kind](item):
            yield _make_finding(
                f"$.prompt[{index}]", f"all items must be {item_kind}"
            )
            return


def _check_messages(decoded: dict[str, Any]) -> Iterator[findings.Finding]:
    """Checks the messages of a chat completion."""
    messages = decoded.get("messages")
    if "messages" not in decoded:
        yield _make_finding("$.messages", "is missing")
    elif not isinstance(messages, list) or not messages:
        yield _make_finding("$.messages", "must be a non-empty list")
    else:
        for index, message in enumerate(messages):
            yield from _check_message(f"$.messages[{index}]", message)


def _check_message(path: str, message: Any) -> Iterator[findings.Finding]:
    """Checks one message of a chat completion."""
    if not isinstance(message, dict):
        yield _make_finding(path, "must be an object")
        return
    role = message.get("role")
    if not isinstance(role, str) or role not in ROLES:
        yield _make_finding(f"{path}.role", f"must be one of {sorted(ROLES)}")
    content = message.get("content")
    if content is None and not message.get("tool_calls"):
        yield _make_finding(f"{path}.content", "is missing")
    elif not isinstance(content, str | list | None):
        yield _make_finding(f"{path}.content", "must be a string or a list")


def _is_int(value: Any) -> bool:
    """Returns whether a value is an integer and not a boolean."""
    return isinstance(value, int) and not isinstance(value, bool)


def _is_token(value: Any) -> bool:
    """Returns whether a value is a valid token id."""
    return _is_int(value) and 0 <= value < MAX_TOKEN_ID


def _is_token_list(value: Any) -> bool:
    """Returns whether a value is a non-empty list of token ids."""
    return (
        isinstance(value, list) and bool(value) and all(map(_is_token, value))
    )


def _make_finding(path: str, message: str) -> findings.Finding:
    """Returns a finding about the body."""
    return findings.Finding(findings.Location("body", path), message)
