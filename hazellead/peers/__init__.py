"""Instances that talk: who is there (SWIM), what each knows (anti-entropy), and the TLS between them.

Off unless an operator's file turns it on; the platform's start imports none of it.
"""
