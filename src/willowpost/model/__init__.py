"""A small-scope model checker that drives the daemons' own controllers."""
