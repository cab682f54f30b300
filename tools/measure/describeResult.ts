import type RunResult from './RunResult';
import type StretchHistograms from './StretchHistograms';

/** Formats the results of a run as text for people. */
export default function describeResult(result: RunResult): string {
  return [
    `${result.scenario}, ${result.policy}`,
    stretchLine('request', result),
    stretchLine('job', result),
    messageLine(result),
    wasteLine(result),
    `  answers: ${pairs(result.outcomes)}; throughput ${(result.throughput * 100).toFixed(1)}% of the slots; doubled starts ${result.doubled}`,
    costLine(result),
  ]
    .filter((line) => line !== '')
    .join('\n');
}

function stretchLine(kind: 'request' | 'job', { stretches, ideal }: RunResult): string {
  const measured = stretches.summary(kind);
  const idealSummary = ideal.summary(kind);
  if (!measured || !idealSummary) return '';
  const ratio = (measured.p99 / idealSummary.p99).toFixed(3);
  return `  ${kind} stretch: ${summaryText(measured)}; ideal ${summaryText(idealSummary)}; p99 ${ratio} of ideal`;
}

function summaryText(summary: NonNullable<ReturnType<StretchHistograms['summary']>>): string {
  const { mean, p50, p99, p999 } = summary;
  return `mean ${mean.toFixed(3)} p50 ${p50.toFixed(3)} p99 ${p99.toFixed(2)} p99.9 ${p999.toFixed(2)}`;
}

function messageLine({ counts, offered }: RunResult): string {
  const sums = sumKinds(counts);
  const messages = sums.reduce((sum, [, count]) => sum + count.messages, 0);
  const bytes = sums.reduce((sum, [, count]) => sum + count.bytes, 0);
  const kinds = sums
    .map(([kind, count]) => `${kind} ${(count.messages / offered).toFixed(3)}`)
    .join(', ');
  return `  messages per task: ${(messages / offered).toFixed(3)}, ${Math.round(bytes / offered)} bytes (${kinds})`;
}

/** Starts whose task was not part of a completed answer, with their causes. */
function wasteLine({ final, completed, offered }: RunResult): string {
  const sums = sumKinds(final);
  const starts = sums.find(([kind]) => kind === 'start')?.[1].messages ?? 0;
  const causes = sums
    .filter(([kind]) => /^(refuse|done)\./.test(kind) && kind !== 'done.COMPLETED')
    .map(([kind, { messages }]) => `${kind} ${messages}`);
  const wasted = starts - completed;
  const share = ((wasted / offered) * 100).toFixed(2);
  return `  starts without use: ${wasted} (${share}% of tasks)${causes.length > 0 ? `, ${causes.join(', ')}` : ''}`;
}

function costLine({ counts, offered }: RunResult): string {
  const cost = ({ cpuMs, mostRssBytes }: RunResult['counts']['entry']) =>
    `${(cpuMs / offered).toFixed(2)} ms CPU a task, at most ${Math.round(mostRssBytes / 2 ** 20)} MiB`;
  return `  entries: ${cost(counts.entry)}; sidecars: ${cost(counts.sidecar)}`;
}

function sumKinds({ entry, sidecar }: RunResult['counts']) {
  const kinds = new Set([...Object.keys(entry.sent), ...Object.keys(sidecar.sent)]);
  return [...kinds]
    .map((kind) => {
      const both = [entry.sent[kind], sidecar.sent[kind]];
      const messages = both.reduce((sum, count) => sum + (count?.messages ?? 0), 0);
      const bytes = both.reduce((sum, count) => sum + (count?.bytes ?? 0), 0);
      return [kind, { messages, bytes }] as const;
    })
    .filter(([, { messages }]) => messages > 0)
    .sort(([, a], [, b]) => b.messages - a.messages);
}

function pairs(counts: Readonly<Record<string, number>>): string {
  return Object.entries(counts)
    .map(([name, count]) => `${name} ${count}`)
    .join(', ');
}
