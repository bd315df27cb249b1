"""The independent review: cases and their stand-ins."""
