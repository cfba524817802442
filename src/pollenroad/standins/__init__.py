"""Stand-ins for the platform and for servers, used by tests, benches and the demo."""
