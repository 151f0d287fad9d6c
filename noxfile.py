"""Sessions for contributors who prefer nox to make."""

import nox

nox.options.sessions = ["lint", "test"]


def _install(session: nox.Session) -> None:
    """Installs the pinned dependencies and this project, editable."""
    session.install("--requirement", "requirements.txt")
    session.install("--no-deps", "--no-build-isolation", "--editable", ".")


@nox.session
def lint(session: nox.Session) -> None:
    """Checks format, lint rules and types."""
    _install(session)
    session.run("ruff", "format", "--check", ".")
    session.run("ruff", "check", ".")
    session.run("mypy")


@nox.session
def test(session: nox.Session) -> None:
    """Runs every test."""
    _install(session)
    session.run("python", "-m", "tests.lib.runner")
