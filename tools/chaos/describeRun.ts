import type ChaosRun from './ChaosRun';
import type Findings from './Findings';

/** Longest time that a leaving process may still get new starts. */
const LAST_START_LIMIT_MS = 2000;
const SHOWN_CASES = 20;

interface Description {
  readonly lines: readonly string[];
  readonly kept: boolean;
}

/** Puts a run's findings into lines and says whether all promises were kept. */
export default function describeRun(run: ChaosRun, findings: Findings): Description {
  const rolled = run.rolling ? describeRolling(run) : { lines: [], problems: [] };
  const problems = [
    ...Object.entries(findings.broken).flatMap(([promise, cases]) =>
      cases.slice(0, SHOWN_CASES).map((text) => `${promise}: ${text}`),
    ),
    ...(run.unusableSlots > 0 ? [`${run.unusableSlots} slots are unusable`] : []),
    ...rolled.problems,
  ];
  const lines = [
    `disruptions: ${countsText(disruptionsOf(run))}`,
    `jobs: ${findings.jobs}, requests: ${findings.requests}, attempts: ${findings.attempts}`,
    `final answers: ${countsText(findings.finals)}`,
    `all answers: ${countsText(findings.answers)}`,
    ...Object.entries(findings.doubts).map(
      ([reason, count]) => `unknown ${count} times: ${reason}`,
    ),
    `starts: ${findings.starts}, repeated for retryable requests: ${findings.waste}`,
    ...Object.entries(findings.broken).map(([promise, { length }]) => `${promise}: ${length}`),
    `longest wait after a disruption: ${findings.longestWaitMs} ms (${findings.longestWaitAfter})`,
    `slots unusable at the end: ${run.unusableSlots}`,
    ...rolled.lines,
    ...problems.map((problem) => `problem: ${problem}`),
  ];
  return { lines, kept: problems.length === 0 };
}

function describeRolling(run: ChaosRun): { lines: string[]; problems: string[] } {
  const { journal } = run;
  const rolling = run.rolling!;
  const lines = ['entry', 'sidecar', 'backend'].map((prefix) => {
    const last = prefix === 'entry' ? '' : `, last new start ${rolling.lastStartMs(prefix)} ms`;
    return `${prefix}s: longest orderly stop ${rolling.longestStopMs(prefix)} ms${last}`;
  });
  const late = ['sidecar', 'backend']
    .filter((prefix) => rolling.lastStartMs(prefix) > LAST_START_LIMIT_MS)
    .map((prefix) => `a leaving ${prefix} got new starts for ${rolling.lastStartMs(prefix)} ms`);
  const cutOff = journal.works.flatMap(({ kind, id, attempts }) =>
    attempts
      .filter(({ outcome }) => CUT_OFF.has(outcome))
      .map(({ entry, outcome, reason, sentAt, endedAt }) => {
        const span = `${Math.round(sentAt)} to ${Math.round(endedAt ?? 0)}`;
        return `cut off: ${kind} ${id}: ${entry} ${outcome} ${reason}, ${span}`;
      }),
  );
  return {
    lines: [...lines, `cut off by an orderly stop: ${cutOff.length}`],
    problems: [...late, ...cutOff.slice(0, SHOWN_CASES)],
  };
}

/** Outcomes that an orderly stop must not cause. */
const CUT_OFF = new Set(['broken', 'overdue', 'unknown']);

function disruptionsOf({ journal }: ChaosRun): Record<string, number> {
  const counts: Record<string, number> = {};
  journal.disruptions.forEach(({ kind, target }) => {
    const name = `${kind.split(' ')[0]} ${target.split('-')[0]}`;
    counts[name] = (counts[name] ?? 0) + 1;
  });
  return counts;
}

function countsText(counts: Readonly<Record<string, number>>): string {
  const parts = Object.entries(counts).map(([name, count]) => `${name} ${count}`);
  return parts.length > 0 ? parts.join(', ') : 'none';
}
