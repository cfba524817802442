"""Keys of workspaces, and the admission of requests before an endpoint is selected."""
