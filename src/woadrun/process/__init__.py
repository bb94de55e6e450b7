"""Services and state that live as long as the process."""
