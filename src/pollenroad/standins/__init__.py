"""Small stand-ins for the platform and for servers, for tests, benches and the demo."""
