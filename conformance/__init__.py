"""Suites that hold a server to its protocol, from outside, against any address."""
