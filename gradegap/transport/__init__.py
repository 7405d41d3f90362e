"""What both sides of the network share: file descriptors, socket options and addresses."""
