"""One deployment of real programs for the tests of a module."""

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
    """Two entry daemons, two pools of two targets, documents in force."""
    made = deployments.Deployment(tmp_path_factory.mktemp('deployment'))
    try:
        fill(made)
        yield made
    finally:
        made.close()


def fill(made):
    for pool in ('plain', 'once'):
        for number in range(2):
            made.add_target(f'{pool}-{number}', pool, 'a', **POOL_OPTIONS)
    for number, zone in enumerate('ab'):
        made.add_entry(f'entry-{number}', zone)
    made.publish()
    made.await_ready()
    first = made.entries['entry-0']
    for document in DOCUMENTS:
        first.apply('amina', document)
    for entry in made.entries.values():
        for document in DOCUMENTS:
            processes.await_condition(
                lambda: serves(entry, document['pipeline']),
                'the documents are not in force',
            )


def serves(entry, pipeline):
    """Tell whether the host has the pipeline, without running a stage."""
    refused = entry.request(pipeline, 'nobody', {})
    return refused.fields.get('reason') == 'unknown_workspace'
