"""Names that leave the process keep standing in the source.

`tests/lib/outer_names.txt` lists fields and values of messages, stored data,
settings, flags, metrics and logs. A rename that reaches one of them breaks
peers, stored data or operators' tools without breaking another test here.
"""

import ast
import pathlib
import re
import unittest

ROOT = pathlib.Path(__file__).resolve().parents[2]
NAMES = ROOT / "tests" / "lib" / "outer_names.txt"
WORD = re.compile(r"[\w.:/-]+")
SUFFIXES = {".capnp", ".ini", ".toml", ".txt"}


def words_of(text):
    """Returns a text's words, with and without the quotes around it."""
    return {text, text.strip(), *WORD.findall(text)}


def names_of(node):
    """Returns the names that a node of a syntax tree may write out."""
    if isinstance(node, ast.Constant) and isinstance(node.value, str | bytes):
        value = node.value
        return words_of(
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
        return {each.id for each in targets if isinstance(each, ast.Name)}
    return set()


def without_docs(tree):
    """Yields the nodes of a tree, but for its doc strings."""
    for node in ast.walk(tree):
        if isinstance(node, ast.Expr) and isinstance(node.value, ast.Constant):
            node.value.value = ""
        yield node


def names_in_source():
    """Returns all names that the source and the deploy files write out."""
    found = set()
    for folder in ("src", "deploy"):
        for path in sorted((ROOT / folder).rglob("*")):
            if path.suffix == ".py":
                tree = ast.parse(path.read_text(encoding="utf-8"))
                for node in without_docs(tree):
                    found |= names_of(node)
            elif path.suffix in SUFFIXES:
                found.add(path.name)
                found |= words_of(path.read_text(encoding="utf-8"))
    return found


class OuterNamesTest(unittest.TestCase):
    def test_each_listed_name_stands_in_the_source(self):
        names = NAMES.read_text(encoding="utf-8").split()
        self.assertGreater(len(names), 0)
        self.assertEqual(names, sorted(set(names)))
        self.assertEqual([], sorted(set(names) - names_in_source()))
