"""Schema of pipeline documents."""

from godwitglade.common import kinds
from godwitglade.decisions import documents

MAX_DEADLINE_MS = 600_000
MAX_STAGES = 12
MAX_WORKSPACES = 4_000
MAX_SHARE = 1_000
MAX_IN_FLIGHT = 1_000_000
MAX_IN_FLIGHT_PER_TARGET = 4_096
MAX_RANK = 100

VERSION = kinds.Text(r'[A-Za-z0-9][A-Za-z0-9._+-]*', 'a version label', 64)
PATH = kinds.Text(r'/[A-Za-z0-9/._-]*', 'a path that starts with /', 128)

MODEL = kinds.Object(
    documents.Model,
    {
        'name': kinds.Field(kinds.NAME, 'Name of the model.'),
        'version': kinds.Field(
            VERSION, 'Version to serve; quote it when it looks like a number.'
        ),
        'adapters': kinds.Field(
            kinds.Items(kinds.NAME, maximum=64),
            'Adapters loaded together with the model.',
        ),
    },
)

STAGE = kinds.Object(
    documents.Stage,
    {
        'name': kinds.Field(
            kinds.NAME, 'Name of the stage, unique in the document.'
        ),
        'kind': kinds.Field(
            kinds.Choice(documents.StageKind),
            'Type of the stage; generate runs on model engines, call on '
            'plain HTTP services.',
        ),
        'pool': kinds.Field(
            kinds.NAME,
            'Pool of targets that run the stage, as named in the host list.',
        ),
        'budget_ms': kinds.Field(
            kinds.Number(1, MAX_DEADLINE_MS, 'ms'),
            'Time limit of one attempt; at most deadline_ms.',
        ),
        'is_repeatable': kinds.Field(
            kinds.Flag(),
            'Whether the call may run more than once per idempotency key.',
        ),
        'is_hedged': kinds.Field(
            kinds.Flag(),
            'Whether a slow attempt may be hedged by one on another target.',
        ),
        'in_answer': kinds.Field(
            kinds.Flag(),
            'Whether the output is part of the response; that of the last '
            'stage always is.',
        ),
        'path': kinds.Field(PATH, 'HTTP path on the target.'),
        'model': kinds.Field(
            kinds.Optional(MODEL), 'Model of a generate stage.'
        ),
    },
)

WORKSPACE = kinds.Object(
    documents.Workspace,
    {
        'name': kinds.Field(kinds.NAME, 'Name of the workspace.'),
        'share': kinds.Field(
            kinds.Number(1, MAX_SHARE), 'Weight in fair sharing.'
        ),
        'max_in_flight': kinds.Field(
            kinds.Optional(kinds.Number(1, MAX_IN_FLIGHT, 'requests')),
            'Maximum number of requests in flight across all hosts; null '
            'for no limit.',
        ),
    },
)

POOL = kinds.Object(
    documents.Pool,
    {
        'name': kinds.Field(kinds.NAME, 'Name of the pool.'),
        'checks_fencing': kinds.Field(
            kinds.Flag(),
            'Whether its engines refuse orders with an outdated fencing '
            'number.',
        ),
        'max_in_flight_per_target': kinds.Field(
            kinds.Number(1, MAX_IN_FLIGHT_PER_TARGET, 'calls'),
            'Maximum number of calls in flight from one host to a target.',
        ),
    },
)

DOCUMENT = kinds.Object(
    documents.Document,
    {
        'pipeline': kinds.Field(kinds.NAME, 'Name of the pipeline.'),
        'team': kinds.Field(kinds.NAME, 'Team that owns the document.'),
        'deadline_ms': kinds.Field(
            kinds.Number(1, MAX_DEADLINE_MS, 'ms'),
            'Maximum duration of a request; callers may request less.',
        ),
        'stages': kinds.Field(
            kinds.Items(STAGE, 1, MAX_STAGES),
            'Stages in the order in which they run.',
        ),
        'workspaces': kinds.Field(
            kinds.Items(WORKSPACE, 1, MAX_WORKSPACES),
            'Workspaces that may send requests.',
        ),
        'pools': kinds.Field(
            kinds.Items(POOL), 'Pool properties that differ from the defaults.'
        ),
        'priorities': kinds.Field(
            kinds.Mapping(kinds.NAME, kinds.Number(0, MAX_RANK)),
            'Priority names and their ranks; lower ranks are served first.',
        ),
        'default_priority': kinds.Field(
            kinds.NAME, 'Priority of requests that specify none.'
        ),
    },
)
