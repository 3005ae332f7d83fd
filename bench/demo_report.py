"""What the demo checks and measures."""

import attrs

from bench import deployment as deployments


@attrs.define
class Report:
    """The answers and the promises checked."""

    answers: list[tuple[str, deployments.Answer]] = attrs.Factory(list)
    broken: list[str] = attrs.Factory(list)

    def check(self, promise: str, is_kept: bool, detail: str = '') -> None:
        """Print whether a promise was kept."""
        print(f'  {"kept  " if is_kept else "BROKEN"}  {promise} {detail}')
        if not is_kept:
            self.broken.append(promise)

    def note(self, pipeline: str, answer: deployments.Answer) -> None:
        """Add a caller's answer."""
        self.answers.append((pipeline, answer))

    def show_measures(self) -> None:
        """Print attainment and cost by stage."""
        total = len(self.answers)
        answered = sum(a.outcome == 'answered' for _, a in self.answers)
        print(f'  attainment {answered / total:.1%} of {total} requests')
        costs: dict[str, list[int]] = {}
        for pipeline, answer in self.answers:
            for stage in answer.fields.get('stages', []):
                cost = costs.setdefault(
                    f'{pipeline} {stage["stage"]}', [0, 0, 0]
                )
                cost[0] += 1
                cost[1] += stage['attempts']
                cost[2] += stage['elapsed_ms']
        print(f'  {"stage":36}{"runs":>6}{"calls":>7}{"ms a run":>10}')
        for name, (runs, calls, elapsed_ms) in costs.items():
            print(f'  {name:36}{runs:6}{calls:7}{elapsed_ms / runs:10.1f}')


def runs_of(
    deployment: deployments.Deployment, pool: str, stage: str, identity: str
) -> int:
    """Return how often a stage ran for an identity."""
    return sum(
        run['stage'] == stage and run['identity'] == identity
        for run in deployment.runs(pool)
    )


def is_own(answer: deployments.Answer, identity: str) -> bool:
    """Tell whether no result carries another request's identity."""
    results = (answer.fields.get('results') or {}).values()
    found = [r['identity'] for r in results if 'identity' in r]
    return all(each == identity for each in found)
