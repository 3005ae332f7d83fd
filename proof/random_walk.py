"""Random walks over the faults, shrunk to a short failing script."""

import itertools
import typing

import hypothesis
from hypothesis import strategies

from proof import language

DEFAULT_SEED_COUNT = 3
EXAMPLES_PER_SEED = 12
MAX_STEPS = 14

#: Limit on the runs that shrink a failing script.
MAX_SHRINK_RUNS = 200
#: Latest time of a step.
LAST_MS = 12_000

_hosts = strategies.sampled_from(['host-1', 'host-2', 'host-3'])
_zones = strategies.sampled_from(['zone-1', 'zone-2', 'zone-3'])
_small_counts = strategies.integers(1, 3)
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


def find_failing_script(seed: int, run: typing.Callable) -> str | None:
    """Return a failing script with its violations, None if all pass.

    Of those found it is the one whose text with the violations is shortest.
    """
    failing: list[str] = []
    shrink_runs = itertools.count()

    @hypothesis.seed(seed)
    @hypothesis.settings(
        max_examples=EXAMPLES_PER_SEED,
        database=None,
        deadline=None,
        suppress_health_check=list(hypothesis.HealthCheck),
        report_multiple_bugs=False,
        print_blob=False,
    )
    @hypothesis.given(scripts())
    def check_script(script: str) -> None:
        if failing and next(shrink_runs) >= MAX_SHRINK_RUNS:
            return
        result = run(language.parse(script)[0])
        if not result.is_passed:
            violations = '\n'.join(f'# {v}' for v in result.violations)
            failing.append(f'{violations}\n{script}')
            raise AssertionError(script)

    try:
        check_script()
    except (AssertionError, hypothesis.errors.Flaky):
        # Scripts count as passed past the limit on runs, hence Flaky.
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
    # Steps start at 3 s; up to 4 s they may also lie on a grid of 20 ms.
    fine_grained = strategies.integers(150, 200).map(lambda n: n * 20)
    coarse_grained = strategies.integers(30, LAST_MS // 100).map(
        lambda n: n * 100
    )
    times = fine_grained | coarse_grained
    return strategies.tuples(times, _actions(deployment))


def _actions(deployment: str) -> strategies.SearchStrategy:
    pipelines = strategies.sampled_from(_PIPELINES[deployment])
    build = strategies.builds
    keyed = build(
        'request r-NUMBER {} through {} key k-{}'.format,
        strategies.just(_PIPELINES[deployment][0]),
        _hosts,
        strategies.integers(1, 2),
    )
    plain = build('request r-NUMBER {} through {}'.format, pipelines, _hosts)
    changed = build(
        'change c-NUMBER {} deadline {} s through {}'.format,
        pipelines,
        strategies.integers(6, 12),
        _hosts,
    )
    faults = [
        *_host_faults(),
        *_store_faults(),
        *_target_faults(deployment),
        build('zone {} {}'.format, _zones, _one_of('cut', 'joined')),
    ]
    return strategies.one_of(
        keyed, keyed, keyed, keyed, plain, changed, *faults
    )


def _host_faults() -> list[strategies.SearchStrategy]:
    build = strategies.builds
    pauses = strategies.integers(1, 80).map(lambda n: n * 100)
    return [
        build('host {} {}'.format, _hosts, _one_of('crashes', 'stops')),
        build('host {} starts'.format, _hosts),
        build('host {} pauses for {} ms'.format, _hosts, pauses),
    ]


def _store_faults() -> list[strategies.SearchStrategy]:
    build = strategies.builds
    return [
        build('store {}'.format, _one_of('down', 'silent', 'up')),
        build('store loses {} answers'.format, _small_counts),
        build('store slow by {} ms'.format, _one_of('100', '500', '900')),
    ]


def _target_faults(deployment: str) -> list[strategies.SearchStrategy]:
    build = strategies.builds
    pools = strategies.sampled_from(_POOLS[deployment])
    names = build('{}-{}'.format, pools, _small_counts)
    kinds = _one_of('crashes', 'starts', 'leaves', 'silent', 'slow times 20')
    return [
        build('target {} {}'.format, names, kinds),
        build('target {} loses {} answers'.format, names, _small_counts),
        build('target {} repeats {} answers'.format, names, _small_counts),
        build('connections to {} silent'.format, names),
    ]


def _one_of(*words: str) -> strategies.SearchStrategy:
    return strategies.sampled_from(words)
