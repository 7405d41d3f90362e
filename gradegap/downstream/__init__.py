"""The clients' side: client sessions over TCP, their first lines and the forms of lines."""
