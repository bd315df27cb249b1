"""Stand-ins of the state service, the cloud, the workers and the users, for the review's cases.

They use the standard library only and follow the users' pages. Where a page is silent they behave
like a sound service, worker or client.
"""
