"""A node assembled and its life as a process: configuration, operator's file, start, reload, shutdown."""
