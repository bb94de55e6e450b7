"""What a daemon knows of the load, health and capacity of upstreams."""
