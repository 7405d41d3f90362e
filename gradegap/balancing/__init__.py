"""Every decision of gradegap, without I/O and without a clock: events go in, actions come out."""
