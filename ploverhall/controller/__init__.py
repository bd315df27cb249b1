"""One controller: the loops that carry the decisions out, one module a purpose."""
