"""Small stand-ins for what chiveroad meets: for tests, demo and measures."""
