"""HTTP clients for the table service, object store and host list."""
