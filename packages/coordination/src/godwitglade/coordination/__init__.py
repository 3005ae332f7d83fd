"""Claims, leases, membership and versioned documents, free of I/O."""
