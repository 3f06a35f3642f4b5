"""The coordinator: jobs, generations, batches and weight rollouts."""
