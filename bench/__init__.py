"""Measurements beside the machine's own floor, by hand and no part of CI."""
