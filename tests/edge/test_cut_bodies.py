"""Bodies without a length that end early."""

import contextlib
import http.client

import pytest

from tests.edge import deployment

#: A call of 600 ms that may be repeated is cancelled after 0.6 of that.
SHORT = {'X_Deadline_Ms': '600'}


@pytest.fixture
def edge():
    running = deployment.Deployment()
    yield running
    running.stop()


@pytest.mark.parametrize(
    ('path', 'behaviour', 'fields', 'logged'),
    [
        ('/once/x', 'unframed', {}, ['"end": "closed", "cancelled": false']),
        ('/once/x', 'unframed_exit', {}, ['"target_gone": true']),
        (
            '/read/x',
            'unframed_slow',
            SHORT,
            ['"reason": "slow"', '"framing": "connection"'],
        ),
        (
            '/once/x',
            'unframed_slow',
            SHORT,
            ['"reason": "deadline"', '"cancelled": true'],
        ),
        ('/once/x', 'short', {}, ['"framing": "length", "received_bytes": 3']),
    ],
)
def test_log_tells_how_a_body_ended(edge, path, behaviour, fields, logged):
    edge.set_behaviours('app', behaviour)
    with contextlib.suppress(http.client.HTTPException, OSError):
        edge.send_request(path, **fields)
    edge.wait_for(lambda: '"body_ended"' in edge.log.text)
    edge.wait_for(lambda: all(text in edge.log.text for text in logged))
