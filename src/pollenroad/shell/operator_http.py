"""HTTP server for operators: health, readiness, status, audit trail, metrics and recent events."""

import bottle
from gevent.pywsgi import WSGIServer

from pollenroad.addresses import split_address
from pollenroad.shell.metrics import CONTENT_TYPE


def _endpoint_name(daemon) -> str:
    document = daemon.document_by_key.get(daemon.settings.service)
    endpoints = document.endpoints if document else ()
    return next((e.name for e in endpoints if e.vm == daemon.settings.vm), "")


def _status(daemon) -> dict:
    settings = daemon.settings
    return {
        "vm": settings.vm,
        "failure_domain": settings.failure_domain,
        "service": settings.service,
        "incarnation": daemon.incarnation,
        "ready": daemon.ready,
        "stopping": daemon.stopping,
        "endpoint": _endpoint_name(daemon),
        "state": daemon.cores.guard.state,
        "why": daemon.cores.guard.why,
        "in_flight": daemon.cores.guard.in_flight,
        "queued": daemon.cores.guard.queued,
        "bound": daemon.cores.guard.bound,
        "p99_ms": daemon.metrics.p99_ms(),
        "config_version": getattr(daemon.document_by_key.get(settings.service), "version", 0),
        "measuring": {
            "messages": daemon.cores.guard.measuring.messages_spent,
            "server_ms": daemon.cores.guard.measuring.server_ms_spent,
        },
        "open_calls": len(daemon.calls),
        "watcher": daemon.cores.relay.is_watcher,
        "leaving_vms": sorted(daemon.cores.relay.view.leaving),
        "dead_vms": sorted(daemon.cores.relay.view.dead),
        "doubtful_vms": sorted(daemon.cores.relay.view.doubtful),
        "versions": {key: doc.version for key, doc in daemon.document_by_key.items()},
    }


def make_operator_app(daemon) -> bottle.Bottle:
    """Return the WSGI application for operators and the platform's checks."""
    app = bottle.Bottle()

    @app.get("/health")
    def health():
        return {"healthy": True}

    @app.get("/ready")
    def ready():
        bottle.response.status = 200 if daemon.ready else 503
        return {"ready": daemon.ready}

    @app.get("/status")
    def status():
        return _status(daemon)

    @app.put("/cuts")
    def cuts():
        if not daemon.settings.allow_cuts:
            raise bottle.HTTPError(403, "the settings do not allow cuts")
        daemon.peers.cut_peers = frozenset(bottle.request.json)
        return {}

    @app.get("/audit")
    def audit():
        bottle.response.content_type = "application/json"
        return daemon.cores.relay.trail.to_json()

    @app.get("/metrics")
    def metrics():
        bottle.response.content_type = CONTENT_TYPE
        return daemon.metrics.text()

    @app.get("/recent/<request_id>")
    def recent(request_id: str):
        records = daemon.recent.find_by_request(request_id)
        return {
            "vm": daemon.settings.vm,
            "records": [
                {"time": r.time, "event": r.event, "fields": dict(r.fields)} for r in records
            ],
        }

    return app


def make_operator_server(daemon) -> WSGIServer:
    """Return the HTTP server for operators of a daemon, not yet started."""
    address = split_address(daemon.settings.operator_address)
    return WSGIServer(address, make_operator_app(daemon), log=None, error_log=None)
