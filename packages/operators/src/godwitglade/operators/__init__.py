"""Pipeline documents, operator HTTP interface and access control."""
