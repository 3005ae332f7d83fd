"""Clock, typed errors, JSON codec and log events used by every package."""
