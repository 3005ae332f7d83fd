"""Checks and measurements of the demo."""

import attrs

from bench import deployment as deployments


@attrs.define
class Report:
    """The answers received and the guarantees that were broken."""

    answers: list[tuple[str, deployments.Answer]] = attrs.Factory(list)
    broken: list[str] = attrs.Factory(list)

    def check(self, guarantee: str, is_kept: bool, detail: str = '') -> None:
        """Print whether a guarantee was kept, and record it if not."""
        print(f'  {"kept  " if is_kept else "BROKEN"}  {guarantee} {detail}')
        if not is_kept:
            self.broken.append(guarantee)

    def add(self, pipeline: str, answer: deployments.Answer) -> None:
        """Add an answer that a caller received."""
        self.answers.append((pipeline, answer))

    def show_measures(self) -> None:
        """Print the share of answered requests, and measures of each stage.

        Those of a stage are its runs, its calls and the mean time of a run.
        """
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


def has_own_identity(answer: deployments.Answer, identity: str) -> bool:
    """Tell whether no result has another identity; True without results."""
    results = (answer.fields.get('results') or {}).values()
    identities = [r['identity'] for r in results if 'identity' in r]
    return all(each == identity for each in identities)
