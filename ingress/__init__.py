"""An ingress gateway that admits, routes and retries requests to a service whose quotas depend on plans."""
