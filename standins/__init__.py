"""Small stand-ins for the systems around the fleet, for tests and the demo."""
