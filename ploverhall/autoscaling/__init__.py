"""How many machines of which type are wanted. No I/O."""
