"""Benchmarks of the decision logic and the daemon."""
