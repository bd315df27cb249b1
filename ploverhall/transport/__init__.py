"""Transport over sockets: HTTP server and client, links between controllers, and socket limits.

This package does not depend on the application's messages. Everything else here is built on the
interface in `network`, so that tests can run a whole cluster without sockets.
"""
