"""One controller process: its loops, its request handlers, and the class that composes them."""
