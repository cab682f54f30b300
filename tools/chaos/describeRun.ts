import type ChaosRun from './ChaosRun';
import type Findings from './Findings';

/** Maximum time during which a process that is shutting down may still receive new starts. */
const LAST_START_LIMIT_MS = 2000;
const MAX_SHOWN_CASES = 20;

interface Description {
  readonly lines: readonly string[];
  readonly kept: boolean;
}

/** Formats the findings of a run as lines of text, and tells whether all guarantees were kept. */
export default function describeRun(run: ChaosRun, findings: Findings): Description {
  const rollingResult = run.rolling ? describeRolling(run) : { lines: [], problems: [] };
  const problems = [
    ...Object.entries(findings.broken).flatMap(([guarantee, cases]) =>
      cases.slice(0, MAX_SHOWN_CASES).map((text) => `${guarantee}: ${text}`),
    ),
    ...(run.unusableSlots > 0 ? [`${run.unusableSlots} slots are unusable`] : []),
    ...rollingResult.problems,
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
    ...Object.entries(findings.broken).map(([guarantee, { length }]) => `${guarantee}: ${length}`),
    `longest wait after a disruption: ${findings.longestWaitMs} ms (${findings.longestWaitAfter})`,
    `slots unusable at the end: ${run.unusableSlots}`,
    ...rollingResult.lines,
    ...problems.map((problem) => `problem: ${problem}`),
  ];
  return { lines, kept: problems.length === 0 };
}

function describeRolling(run: ChaosRun): { lines: string[]; problems: string[] } {
  const { journal } = run;
  const rolling = run.rolling!;
  const lines = ['entry', 'sidecar', 'backend'].map((prefix) => {
    const last = prefix === 'entry' ? '' : `, last new start ${rolling.maxStartDelayMs(prefix)} ms`;
    return `${prefix}s: longest orderly stop ${rolling.maxShutdownMs(prefix)} ms${last}`;
  });
  const late = ['sidecar', 'backend']
    .filter((prefix) => rolling.maxStartDelayMs(prefix) > LAST_START_LIMIT_MS)
    .map(
      (prefix) => `a leaving ${prefix} got new starts for ${rolling.maxStartDelayMs(prefix)} ms`,
    );
  const interrupted = journal.workItems.flatMap(({ kind, id, attempts }) =>
    attempts
      .filter(({ outcome }) => INTERRUPTED_OUTCOMES.has(outcome))
      .map(({ entry, outcome, reason, sentAt, endedAt }) => {
        const span = `${Math.round(sentAt)} to ${Math.round(endedAt ?? 0)}`;
        return `cut off: ${kind} ${id}: ${entry} ${outcome} ${reason}, ${span}`;
      }),
  );
  return {
    lines: [...lines, `cut off by an orderly stop: ${interrupted.length}`],
    problems: [...late, ...interrupted.slice(0, MAX_SHOWN_CASES)],
  };
}

/** Outcomes that a graceful shutdown must not cause. */
const INTERRUPTED_OUTCOMES = new Set(['broken', 'overdue', 'unknown']);

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
