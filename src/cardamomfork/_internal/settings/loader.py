"""Loads and validates a settings file, and reports all findings together."""

from __future__ import annotations

import configparser
import difflib
import pathlib
import re
from typing import Any
from typing import TYPE_CHECKING

import attrs
import result

from cardamomfork._internal.models import findings
from cardamomfork._internal.settings import rules
from cardamomfork._internal.settings import sections

if TYPE_CHECKING:
    from collections.abc import Iterable

    from cardamomfork._internal.models import settings

SAMPLE_PATH = pathlib.Path(__file__).with_name("sample.ini")

_NO_SECTION = "\0"
"""Default section of the parser.

No section header can contain this name, so the file cannot define keys that
apply to all sections.
"""

_SECTION_LINE = re.compile(r"\[(?P<section>[^\]]+)\]")
_KEY_LINE = re.compile(r"(?P<key>[^\s=:#;\[][^=:]*?)\s*[=:]")


def load(
    path: str | pathlib.Path, *, embedded: bool = False
) -> result.Result[settings.DaemonSettings, tuple[findings.Finding, ...]]:
    """Loads a settings file.

    Args:
        path: Path of the file.
        embedded: Enable the embedded components regardless of the file.

    Returns:
        The settings, or all findings with file, section, key and line.
    """
    read = _read(path)
    if isinstance(read, result.Err):
        return read
    return parse(read.ok_value, str(path), embedded=embedded)


def load_features(
    path: str | pathlib.Path,
) -> result.Result[settings.EntryFeatures, tuple[findings.Finding, ...]]:
    """Loads the file that switches features of an entry instance.

    Returns:
        The features, or all findings with file, section, key and line.
    """
    read = _read(path)
    if isinstance(read, result.Err):
        return read
    checker = _Checker(str(path), read.ok_value, sections.FEATURE_SECTIONS)
    values = checker.read()
    if checker.found:
        return result.Err(tuple(sorted(checker.found, key=_line_number)))
    return result.Ok(sections.build_features(values))


def _read(
    path: str | pathlib.Path,
) -> result.Result[str, tuple[findings.Finding, ...]]:
    """Reads the text of a file."""
    try:
        return result.Ok(pathlib.Path(path).read_text(encoding="utf-8-sig"))
    except (OSError, UnicodeDecodeError) as error:
        place = findings.Location(str(path), "file")
        finding = findings.Finding(place, f"cannot be read: {error}")
        return result.Err((finding,))


def parse(
    text: str, source: str, *, embedded: bool = False
) -> result.Result[settings.DaemonSettings, tuple[findings.Finding, ...]]:
    """Parses and validates the text of a settings file."""
    checker = _Checker(source, text, sections.SECTIONS)
    values = checker.read()
    if embedded:
        values["embedded"] = {"enabled": True}
    if not checker.found:
        daemon_settings = sections.build(values)
        for location, message in rules.check(daemon_settings):
            checker.add(location, message)
        if not checker.found:
            return result.Ok(daemon_settings)
    return result.Err(tuple(sorted(checker.found, key=_line_number)))


def _line_number(finding: findings.Finding) -> int:
    """Returns the line number of a finding as its sort key."""
    return finding.place.line or 0


@attrs.frozen
class _LineIndex:
    """Line numbers of sections and keys.

    Attributes:
        line_numbers: Line of the first occurrence by section and key; the key
            is empty for a section header.
        duplicates: Section, key and line of each repeated occurrence.
    """

    line_numbers: dict[tuple[str, str], int]
    duplicates: tuple[tuple[str, str, int], ...]


def _index_lines(text: str) -> _LineIndex:
    """Indexes the lines, since configparser does not keep line numbers."""
    line_numbers: dict[tuple[str, str], int] = {}
    duplicates = []
    section = ""
    for number, line in enumerate(text.splitlines(), 1):
        key = ""
        if header := _SECTION_LINE.match(line):
            section = header["section"]
        elif entry := _KEY_LINE.match(line):
            key = entry["key"].strip().lower()
        else:
            continue
        if (section, key) in line_numbers:
            duplicates.append((section, key, number))
        line_numbers.setdefault((section, key), number)
    return _LineIndex(line_numbers, tuple(duplicates))


class _Checker:
    """Parses one settings file and collects the findings."""

    def __init__(
        self,
        source: str,
        text: str,
        known_sections: dict[str, sections.Section],
    ) -> None:
        """Initializes the checker and indexes the lines of the text."""
        self.found: list[findings.Finding] = []
        self._sections = known_sections
        self._source = source
        self._text = text
        self._lines = _index_lines(text)

    def add(
        self, location: tuple[str, str], message: str, line: int | None = None
    ) -> None:
        """Adds a finding about a key, or a section if the key is empty."""
        section, key = location
        path = f"[{section}] {key}".strip()
        if line is None:
            line_numbers = self._lines.line_numbers
            line = line_numbers.get(
                (section, key), line_numbers.get((section, ""))
            )
        place = findings.Location(self._source, path, line)
        self.found.append(findings.Finding(place, message))

    def read(self) -> dict[str, dict[str, Any]]:
        """Returns the successfully parsed values by section and key."""
        parser = configparser.ConfigParser(
            interpolation=None, strict=False, default_section=_NO_SECTION
        )
        try:
            parser.read_string(self._text, self._source)
        except configparser.MissingSectionHeaderError as error:
            message = "appears before the first [section]"
            self.add(("", error.line.strip()), message, error.lineno)
        except configparser.ParsingError as error:
            for line, _ in error.errors:
                message = "is neither 'key = value' nor a [section]"
                self.add(("", f"line {line}"), message, line)
        self._check_duplicates()
        return {
            name: self._read_section(name, parser.items(name))
            for name in parser.sections()
            if self._check_name("", name, self._sections)
        }

    def _read_section(
        self, section: str, items: Iterable[tuple[str, str | None]]
    ) -> dict[str, Any]:
        """Parses the values of one section."""
        values = {}
        parsers = self._sections[section].parsers
        for key, text in items:
            if not self._check_name(section, key, parsers):
                continue
            parsed = parsers[key](text or "")
            if isinstance(parsed, result.Err):
                self.add((section, key), parsed.err_value)
            else:
                values[key] = parsed.ok_value
        return values

    def _check_name(
        self, section: str, name: str, allowed: Iterable[str]
    ) -> bool:
        """Returns whether a section or key name is allowed.

        Adds a finding if not. `section` is empty if the name is a section.
        """
        names = list(allowed)
        if name in names:
            return True
        close_matches = difflib.get_close_matches(name, names, n=1)
        hint = f"did you mean {close_matches[0]!r}?" if close_matches else ""
        if not close_matches:
            hint = f"allowed names: {', '.join(names)}"
        location = (section, name) if section else (name, "")
        kind = "key" if section else "section"
        self.add(location, f"unknown {kind}; {hint}")
        return False

    def _check_duplicates(self) -> None:
        """Adds a finding for each repeated section or key."""
        for section, key, line in self._lines.duplicates:
            first = self._lines.line_numbers[section, key]
            self.add((section, key), f"is already set in line {first}", line)
