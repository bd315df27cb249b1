"""Bytes on sockets: HTTP server and client, the links between controllers, and limits on sockets.

Knows no message of the application. `network` is the interface below everything else here, so that
tests can run a whole cluster without sockets.
"""
