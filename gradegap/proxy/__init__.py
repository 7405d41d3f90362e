"""Requests, attempts and endpoints of one proxy: drives one `Balancer`, and knows no wire."""
