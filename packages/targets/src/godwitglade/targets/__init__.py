"""HTTP client for model engines, stage pools and plain services."""
