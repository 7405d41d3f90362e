"""The platform's protocol: lines over TCP, and discovery's list over HTTP."""
