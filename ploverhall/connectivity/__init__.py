"""Which services and peers this controller reaches, and relaying through peers where it does not.

No I/O: times and measurements are passed in, routes and decisions come out. `controller.relay` does
the sending. See docs/reach.md.
"""
