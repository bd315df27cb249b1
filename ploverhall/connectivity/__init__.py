"""What this controller reaches, how it knows, and what it does where it doesn't: asks through another (docs/reach.md).

No I/O: clocks are passed in, measurements come in, ways and waits come out. `control.carrying` does the sending.
"""
