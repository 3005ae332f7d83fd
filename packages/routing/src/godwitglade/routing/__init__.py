"""Routing policy: decides which target serves each request; free of I/O."""
