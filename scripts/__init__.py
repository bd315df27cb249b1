"""Repeatable measurements and test runs, each started by one command."""
