"""Decisions of a host: typed messages in, typed effects out."""
