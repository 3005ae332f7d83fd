"""Builders of test data for routing."""

from godwitglade.routing import bodies
from godwitglade.routing import documents
from godwitglade.routing import item_selection
from godwitglade.routing import messages
from godwitglade.routing import targets

Kind = documents.RequestKind


def listed(name, pool='encode', zone='z1', **fields):
    return targets.TargetEntry(name, pool, zone, f'10.0.0.{name}:80', **fields)


def target(name, pool='encode', zone='z1', **fields):
    return targets.Target(listed(name, pool, zone, **fields))


def batching(**fields):
    values = {
        'max_items': 10,
        'call_ms': 200.0,
        'item_ms': 10.0,
        'result_memory_bytes': 10_000,
        'result_ttl_ms': 4_000,
        **fields,
    }
    return documents.Batching(**values)


def job_request(job_id, count=1, due_ms=1_000, left_ms=5_000, **fields):
    values = {
        'job_id': job_id,
        'attempt_id': f'a-{job_id}',
        'pool': 'encode',
        'stage': 0,
        'count': count,
        'result_bytes': 100,
        'rank': 0,
        'due_left_ms': due_ms,
        'left_ms': left_ms,
        'item_key': 'k',
        **fields,
    }
    return bodies.JobRequest(**values)


def job(job_id, count=1, due_ms=1_000, deadline_ms=5_000, **fields):
    request = job_request(job_id, count, due_ms, deadline_ms, **fields)
    return item_selection.Job(request, 'h1', due_ms, deadline_ms)


def route(kind=Kind.AT_MOST_ONCE, **fields):
    values = {
        'name': 'r',
        'host': 'desk.example',
        'prefix': '/a/',
        'kind': kind,
        'pools': (documents.WeightedPool('app'),),
        'timeout_ms': 1_000,
        'objective_ms': 400,
        'max_targets': 2,
        **fields,
    }
    return documents.Route(**values)


def document(*routes, version=1, pools=(), **fields):
    by_name = {pool.name: pool for pool in pools}
    return documents.Document(version, routes, by_name, **fields)


def arrived(request_id='r1', path='/a/x', read_ms=0, **fields):
    values = {
        'request_id': request_id,
        'attempt_id': f'a-{request_id}',
        'method': 'POST',
        'host': 'desk.example',
        'path': path,
        'read_ms': read_ms,
        **fields,
    }
    return messages.RequestArrived(**values)
