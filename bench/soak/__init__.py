"""Randomized soak: real edge processes under faults from outside them."""
