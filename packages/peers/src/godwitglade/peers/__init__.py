"""Messages between hosts, authenticated by HMAC."""
