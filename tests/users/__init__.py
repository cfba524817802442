"""Small stand-ins for the users' store, servers and clients, speaking their formats."""
