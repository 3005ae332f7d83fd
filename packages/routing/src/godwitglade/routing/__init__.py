"""Policy of requests that are routed on to targets; free of I/O."""
