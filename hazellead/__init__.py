"""A dispatcher that admits tenants' jobs, pushes them to workers and retries them: decisions without I/O."""

from hazellead.decide.dispatcher import Dispatcher

__all__ = ["Dispatcher"]
