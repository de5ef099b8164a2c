"""Messages between the system's own processes, and the links they travel on."""
