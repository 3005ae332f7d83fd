"""Random walks over the faults, cut down to the shortest failing script."""

import itertools
import typing

import hypothesis
from hypothesis import strategies

from proof import language

CI_SEEDS = 3
EXAMPLES_A_SEED = 12
MAX_STEPS = 14

#: Runs spent on cutting a failing script down.
MAX_SHRINKS = 200
LAST_MS = 12_000

_hosts = strategies.sampled_from(['host-1', 'host-2', 'host-3'])
_zones = strategies.sampled_from(['zone-1', 'zone-2', 'zone-3'])
_few = strategies.integers(1, 3)
_PIPELINES = {
    'onboarding': ('account-activation', 'licence-check', 'vehicle-papers'),
    'touchline': ('squad-update', 'passage-answer', 'clip-notes'),
}
_POOLS = {
    'onboarding': (
        'onboarding-application',
        'agency-desk',
        'language-models',
        'notifications',
    ),
    'touchline': ('squad-records', 'review-models', 'event-tagger'),
}


def walk(seed: int, run: typing.Callable) -> str | None:
    """Return the shortest failing script found, None when all hold."""
    failing: list[str] = []
    shrinks = itertools.count()

    @hypothesis.seed(seed)
    @hypothesis.settings(
        max_examples=EXAMPLES_A_SEED,
        database=None,
        deadline=None,
        suppress_health_check=list(hypothesis.HealthCheck),
        report_multiple_bugs=False,
        print_blob=False,
    )
    @hypothesis.given(scripts())
    def holds(script: str) -> None:
        if failing and next(shrinks) >= MAX_SHRINKS:
            return
        result = run(language.parse(script)[0])
        if not result.is_passed:
            found = '\n'.join(f'# {v}' for v in result.violations)
            failing.append(f'{found}\n{script}')
            raise AssertionError(script)

    try:
        holds()
    except (AssertionError, hypothesis.errors.Flaky):
        # Scripts past the limit of runs count as passed.
        return min(failing, key=len)
    return None


@strategies.composite
def scripts(draw: typing.Callable) -> str:
    """Return the text of one random scenario without expectations."""
    deployment = draw(strategies.sampled_from(sorted(_PIPELINES)))
    steps = draw(
        strategies.lists(_steps(deployment), min_size=1, max_size=MAX_STEPS)
    )
    heading = f'scenario "walk"\ndeployment {deployment}\nhosts 3\n'
    seed = draw(strategies.integers(1, 5))
    lines = [
        f'at {at_ms} ms {action.replace("NUMBER", str(index))}'
        for index, (at_ms, action) in enumerate(sorted(steps))
    ]
    return heading + f'seed {seed}\n' + '\n'.join(lines) + '\n'


def _steps(deployment: str) -> strategies.SearchStrategy:
    early = strategies.integers(150, 200).map(lambda n: n * 20)
    later = strategies.integers(30, LAST_MS // 100).map(lambda n: n * 100)
    times = early | later
    return strategies.tuples(times, _actions(deployment))


def _actions(deployment: str) -> strategies.SearchStrategy:
    pipelines = strategies.sampled_from(_PIPELINES[deployment])
    made = strategies.builds
    keyed = made(
        'request r-NUMBER {} through {} key k-{}'.format,
        strategies.just(_PIPELINES[deployment][0]),
        _hosts,
        strategies.integers(1, 2),
    )
    plain = made('request r-NUMBER {} through {}'.format, pipelines, _hosts)
    changed = made(
        'change c-NUMBER {} deadline {} s through {}'.format,
        pipelines,
        strategies.integers(6, 12),
        _hosts,
    )
    faults = [
        *_host_faults(),
        *_store_faults(),
        *_target_faults(deployment),
        made('zone {} {}'.format, _zones, _words('cut', 'joined')),
    ]
    return strategies.one_of(
        keyed, keyed, keyed, keyed, plain, changed, *faults
    )


def _host_faults() -> list[strategies.SearchStrategy]:
    made = strategies.builds
    pauses = strategies.integers(1, 80).map(lambda n: n * 100)
    return [
        made('host {} {}'.format, _hosts, _words('crashes', 'stops')),
        made('host {} starts'.format, _hosts),
        made('host {} pauses for {} ms'.format, _hosts, pauses),
    ]


def _store_faults() -> list[strategies.SearchStrategy]:
    made = strategies.builds
    return [
        made('store {}'.format, _words('down', 'silent', 'up')),
        made('store loses {} answers'.format, _few),
        made('store slow by {} ms'.format, _words('100', '500', '900')),
    ]


def _target_faults(deployment: str) -> list[strategies.SearchStrategy]:
    made = strategies.builds
    pools = strategies.sampled_from(_POOLS[deployment])
    names = made('{}-{}'.format, pools, _few)
    kinds = _words('crashes', 'starts', 'leaves', 'silent', 'slow times 20')
    return [
        made('target {} {}'.format, names, kinds),
        made('target {} loses {} answers'.format, names, _few),
        made('target {} repeats {} answers'.format, names, _few),
        made('connections to {} silent'.format, names),
    ]


def _words(*words: str) -> strategies.SearchStrategy:
    return strategies.sampled_from(words)
