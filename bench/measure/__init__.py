"""Measurements of the decisions against in-memory fakes."""
