"""What is remembered: records in the state service, the copy followed by watch, tables."""
