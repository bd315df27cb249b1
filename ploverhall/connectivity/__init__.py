"""Track which services and peers this controller reaches, and choose relays for the others.

No I/O: the caller passes in times and measurements and gets routes and decisions back.
`controller.relay` sends the messages. See docs/reach.md.
"""
