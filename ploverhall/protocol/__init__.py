"""Messages to typed values and back: one module for each interface.

`jobs` (users), `agents`, `cloud`, `key_value_store` with its `rate_limiter`, and between
controllers `peer_messages` and `relay_messages`. The published names of fields stand here and
nowhere else; the rest of the package uses the typed values.
"""
