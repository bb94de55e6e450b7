"""Access to the row store, what is kept in it, and its removal."""
