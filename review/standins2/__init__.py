"""Stand-ins of the second review: clients, database servers and discovery of the platform, and the run of a case."""
