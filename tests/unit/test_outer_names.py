"""Checks that externally visible names are still in the source.

`tests/lib/outer_names.txt` lists fields and values of messages, stored data,
settings, flags, metrics and logs. Renaming one of them breaks peers, stored
data or operators' tools, and no other test might fail.
"""

import ast
import pathlib
import re
import unittest

ROOT = pathlib.Path(__file__).resolve().parents[2]
NAMES_PATH = ROOT / "tests" / "lib" / "outer_names.txt"
WORD_PATTERN = re.compile(r"[\w.:/-]+")
SUFFIXES = {".capnp", ".ini", ".toml", ".txt"}


def extract_words(text):
    """Returns the whole text, the stripped text and each word in it."""
    return {text, text.strip(), *WORD_PATTERN.findall(text)}


def extract_names(node):
    """Returns the names in a syntax node that may leave the process."""
    if isinstance(node, ast.Constant) and isinstance(node.value, str | bytes):
        value = node.value
        return extract_words(
            value.decode("latin-1") if isinstance(value, bytes) else value
        )
    if isinstance(node, ast.ClassDef | ast.FunctionDef | ast.AsyncFunctionDef):
        return {node.name}
    if isinstance(node, ast.arg | ast.keyword):
        name = node.arg or ""
        return {name, "--" + name.replace("_", "-")}
    if isinstance(node, ast.AnnAssign | ast.Assign):
        targets = (
            node.targets if isinstance(node, ast.Assign) else [node.target]
        )
        return {target.id for target in targets if isinstance(target, ast.Name)}
    return set()


def walk_without_docstrings(tree):
    """Yields the nodes of a syntax tree, with empty doc strings."""
    for node in ast.walk(tree):
        if isinstance(node, ast.Expr) and isinstance(node.value, ast.Constant):
            node.value.value = ""
        yield node


def collect_source_names():
    """Returns the names found in the source and the deployment files."""
    found = set()
    for directory in ("src", "deploy"):
        for path in sorted((ROOT / directory).rglob("*")):
            if path.suffix == ".py":
                tree = ast.parse(path.read_text(encoding="utf-8"))
                for node in walk_without_docstrings(tree):
                    found |= extract_names(node)
            elif path.suffix in SUFFIXES:
                found.add(path.name)
                found |= extract_words(path.read_text(encoding="utf-8"))
    return found


class OuterNamesTest(unittest.TestCase):
    def test_each_listed_name_is_in_the_source(self):
        names = NAMES_PATH.read_text(encoding="utf-8").split()
        self.assertGreater(len(names), 0)
        self.assertEqual(names, sorted(set(names)))
        self.assertEqual([], sorted(set(names) - collect_source_names()))
