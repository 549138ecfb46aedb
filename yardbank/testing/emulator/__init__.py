"""Database servers as a model on a virtual clock: cores, a queue, a log and its apply. No I/O, no wall clock."""
