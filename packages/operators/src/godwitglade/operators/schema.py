"""What a pipeline's document may hold, field by field."""

from godwitglade.common import validation
from godwitglade.decisions import documents

MAX_DEADLINE_MS = 600_000
MAX_STAGES = 12
MAX_WORKSPACES = 4_000
MAX_SHARE = 1_000
MAX_IN_FLIGHT = 1_000_000
MAX_IN_FLIGHT_PER_TARGET = 4_096
MAX_RANK = 100

NAME = validation.Text(
    r'[a-z0-9][a-z0-9._-]*',
    'lower-case letters, digits, dots, dashes and underscores',
    64,
)
VERSION = validation.Text(
    r'[A-Za-z0-9][A-Za-z0-9._+-]*', 'a version label', 64
)
PATH = validation.Text(r'/[A-Za-z0-9/._-]*', 'a path that starts with /', 128)

MODEL = validation.Object(
    documents.Model,
    {
        'name': validation.Field(NAME, 'Name of the model.'),
        'version': validation.Field(
            VERSION, 'Version to serve; in quotes when it looks a number.'
        ),
        'adapters': validation.Field(
            validation.Items(NAME, maximum=64),
            'Adapters loaded together with the model.',
        ),
    },
)

STAGE = validation.Object(
    documents.Stage,
    {
        'name': validation.Field(NAME, 'Name of the stage, unique here.'),
        'kind': validation.Field(
            validation.Choice(documents.StageKind),
            'What the stage does; generate is served by model engines and '
            'call by plain services.',
        ),
        'pool': validation.Field(
            NAME, 'Pool of targets that run it, as the host list names it.'
        ),
        'budget_ms': validation.Field(
            validation.Number(1, MAX_DEADLINE_MS, 'ms'),
            'Bound on one attempt; at most the deadline.',
        ),
        'is_repeatable': validation.Field(
            validation.Flag(),
            'False for a call that runs at most once for an idempotency key.',
        ),
        'is_hedged': validation.Field(
            validation.Flag(),
            'Whether a slow attempt may get one rival on another target.',
        ),
        'in_answer': validation.Field(
            validation.Flag(),
            'Whether the output is part of the answer; the last stage is '
            'always.',
        ),
        'path': validation.Field(PATH, 'HTTP path on the target.'),
        'model': validation.Field(
            validation.Optional(MODEL), 'Model of a generate stage.'
        ),
    },
)

WORKSPACE = validation.Object(
    documents.Workspace,
    {
        'name': validation.Field(NAME, 'Name of the workspace.'),
        'share': validation.Field(
            validation.Number(1, MAX_SHARE), 'Weight in fair sharing.'
        ),
        'max_in_flight': validation.Field(
            validation.Optional(
                validation.Number(1, MAX_IN_FLIGHT, 'requests')
            ),
            'Bound on requests in flight over all hosts; null for none.',
        ),
    },
)

POOL = validation.Object(
    documents.Pool,
    {
        'name': validation.Field(NAME, 'Name of the pool.'),
        'checks_fencing': validation.Field(
            validation.Flag(),
            'Whether its engines refuse orders with an old fencing number.',
        ),
        'max_in_flight_per_target': validation.Field(
            validation.Number(1, MAX_IN_FLIGHT_PER_TARGET, 'calls'),
            'Bound on calls in flight from one host to one target.',
        ),
    },
)

DOCUMENT = validation.Object(
    documents.Document,
    {
        'pipeline': validation.Field(NAME, 'Name of the pipeline.'),
        'team': validation.Field(NAME, 'Team that owns the document.'),
        'deadline_ms': validation.Field(
            validation.Number(1, MAX_DEADLINE_MS, 'ms'),
            'Longest time of a request; callers may ask for less.',
        ),
        'stages': validation.Field(
            validation.Items(STAGE, 1, MAX_STAGES),
            'Stages in the order in which they run.',
        ),
        'workspaces': validation.Field(
            validation.Items(WORKSPACE, 1, MAX_WORKSPACES),
            'Workspaces that may send requests.',
        ),
        'pools': validation.Field(
            validation.Items(POOL), 'Properties of pools, where not default.'
        ),
        'priorities': validation.Field(
            validation.Mapping(NAME, validation.Number(0, MAX_RANK)),
            'Names that callers use and their ranks; lower ranks go first.',
        ),
        'default_priority': validation.Field(
            NAME, 'Priority of a request that names none.'
        ),
    },
)
