"""Command-line tool for operators, ``ridgecourse-ctl``."""
