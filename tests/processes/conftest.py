"""A deployment of real processes, shared by the tests of a module."""

import pytest

from bench import deployment as deployments
from bench import processes

POOL_OPTIONS = {'work_ms': 250}


def make_document(pipeline, *stages):
    return {
        'pipeline': pipeline,
        'team': 'onboarding',
        'deadline_ms': 8_000,
        'stages': [
            {'kind': 'call', 'budget_ms': 4_000, **stage} for stage in stages
        ],
        'workspaces': [{'name': 'w'}],
    }


DOCUMENTS = (
    make_document('lookup', {'name': 'read', 'pool': 'plain'}),
    make_document(
        'activation',
        {'name': 'act', 'pool': 'once', 'is_repeatable': False},
    ),
)


@pytest.fixture(scope='module')
def deployment(tmp_path_factory):
    """Two entry daemons and two pools of two targets, with two pipelines."""
    deployment_ = deployments.Deployment(tmp_path_factory.mktemp('deployment'))
    try:
        set_up(deployment_)
        yield deployment_
    finally:
        deployment_.close()


def set_up(deployment_):
    for pool in ('plain', 'once'):
        for index in range(2):
            deployment_.add_target(
                f'{pool}-{index}', pool, 'a', **POOL_OPTIONS
            )
    for index, zone in enumerate('ab'):
        deployment_.add_entry(f'entry-{index}', zone)
    deployment_.publish()
    deployment_.await_ready()
    first = deployment_.entries['entry-0']
    for document in DOCUMENTS:
        first.apply('amina', document)
    for entry in deployment_.entries.values():
        for document in DOCUMENTS:
            processes.await_condition(
                lambda: has_pipeline(entry, document['pipeline']),
                'the documents are not in force',
            )


def has_pipeline(entry, pipeline):
    """Return whether the host serves the pipeline, without running a stage."""
    refused = entry.request(pipeline, 'nobody', {})
    return refused.fields.get('reason') == 'unknown_workspace'
