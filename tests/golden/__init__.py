"""Golden files of data that other processes read: interfaces, links, stored and operators' data."""
