"""Golden files of what other processes read: interfaces, links, stored data, operators' input."""
