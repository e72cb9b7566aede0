"""Messages between processes, their codecs and the administration schema."""
