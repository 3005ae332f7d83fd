"""Randomized soak test of real edge processes under external faults."""
