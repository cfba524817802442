"""Tests. Sockets are patched as in the daemon, before anything imports them."""

from gevent import monkey

monkey.patch_all()
