"""Decodes messages into typed values and encodes them again, with one module for each interface.

The modules are `jobs` (users), `agents`, `cloud`, `key_value_store` with its `rate_limiter`, and
`peer_messages` and `relay_messages` for messages between controllers. The published field names are
defined only in this package; all other packages use the typed values.
"""
