"""Communication between instances: membership (SWIM), exchange of facts (anti-entropy) and TLS transport.

Only used if the operator's configuration enables it; otherwise none of it is imported.
"""
