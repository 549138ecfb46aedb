"""Stand-ins for the platform, and the start of the program under test; standard library only."""
