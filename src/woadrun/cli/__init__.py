"""The `woadrun` command-line interface."""
