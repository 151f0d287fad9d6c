"""Data types shared by the packages; they have no side effects."""
