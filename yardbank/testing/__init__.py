"""What exercises the program from outside: stand-in servers, models of servers, scenarios, and the judge of records."""
