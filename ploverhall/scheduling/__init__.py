"""Who may start what, and where: the source side permits, the owner side places. No I/O."""
