"""The command line of callers and operators."""
