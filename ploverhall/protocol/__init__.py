"""Wire words to typed values and back, one module per interface."""
