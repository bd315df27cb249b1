"""Bytes on the wire: the HTTP server, the pooled HTTP client, the link between controllers."""
