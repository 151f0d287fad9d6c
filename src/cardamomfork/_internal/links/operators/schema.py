"""Loads the operators' schema."""

from __future__ import annotations

import pathlib

import capnp

capnp.remove_import_hook()

SCHEMA = capnp.load(str(pathlib.Path(__file__).with_name("operators.capnp")))
