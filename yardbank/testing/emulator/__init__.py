"""A model of database servers on a virtual clock: cores, request queue, commit log and its apply thread. No I/O."""
