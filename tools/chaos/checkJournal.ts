import type CallerAttempt from './CallerAttempt';
import type Findings from './Findings';
import type Journal from './Journal';
import type ReportedStart from './ReportedStart';
import type WorkItem from './WorkItem';

/**
 * Checks the guarantees to callers against what callers and backend servers observed,
 * independently of how the system implements them.
 */
export default function checkJournal(journal: Journal): Findings {
  const { workItems, starts } = journal;
  const byWork = groupById(starts);
  const ids = new Set(workItems.map(({ id }) => id));
  const startsOf = (work: WorkItem) => byWork.get(work.id) ?? [];
  const attempts = workItems.flatMap((work) => work.attempts);
  const submitted = attempts.filter(({ action }) => action === 'submit');
  const repeatsByItem = workItems.map((work) => ({ work, repeats: repeatsOf(startsOf(work)) }));
  return {
    jobs: workItems.filter(({ kind }) => kind === 'job').length,
    requests: workItems.filter(({ kind }) => kind === 'request').length,
    attempts: attempts.length,
    finals: countBy(workItems, ({ finalOutcome }) => finalOutcome ?? 'none'),
    answers: countBy(submitted, ({ outcome }) => outcome),
    doubts: countBy(
      submitted.filter(({ outcome }) => outcome === 'unknown'),
      ({ reason }) => reason.replace(/task \d+/, 'task'),
    ),
    starts: starts.length,
    waste: sum(
      repeatsByItem.filter(({ work }) => work.idempotent).map(({ repeats }) => repeats.length),
    ),
    broken: {
      doubled: repeatsByItem
        .filter(({ work }) => !work.idempotent)
        .flatMap(({ work, repeats }) => repeats.map((start) => describeStart(work, start))),
      lost: workItems
        .filter(({ finalOutcome }) => finalOutcome === undefined)
        .map((work) => describe(work)),
      falseNotRun: workItems.flatMap((work) => falseNotRuns(work, startsOf(work))),
      wrongAnswers: workItems.flatMap((work) => wrongAnswers(work, startsOf(work))),
      unexpectedAnswers: workItems.flatMap(unexpectedAnswers),
      unknownStarts: starts
        .filter(({ id }) => !ids.has(id))
        .map(({ task, backend }) => `${task} on ${backend}`),
      crashes: journal.crashes,
    },
    ...longestWait(journal),
  };
}

function groupById(starts: readonly ReportedStart[]): Map<string, ReportedStart[]> {
  const groups = new Map<string, ReportedStart[]>();
  starts.forEach((start) => {
    const group = groups.get(start.id);
    if (group) group.push(start);
    else groups.set(start.id, [start]);
  });
  return groups;
}

/** Starts of tasks that had already been started. */
function repeatsOf(starts: readonly ReportedStart[]): ReportedStart[] {
  const seen = new Set<number>();
  return starts.filter(({ index }) => {
    if (seen.has(index)) return true;
    seen.add(index);
    return false;
  });
}

/**
 * False "not run" answers: a task started before the attempt was sent, or during
 * it without a concurrent attempt, or a task started after every earlier attempt had
 * been answered "not run".
 */
function falseNotRuns(work: WorkItem, starts: readonly ReportedStart[]): string[] {
  const submitted = work.attempts.filter(({ action }) => action === 'submit');
  const refused = submitted.filter(({ outcome }) => outcome === 'not-run');
  const early = refused.filter((attempt) =>
    starts.some((start) => start.at < disprovedBefore(attempt, submitted)),
  );
  const orphans = starts.filter((start) => !submitted.some((attempt) => allows(attempt, start)));
  return [
    ...early.map((attempt) => `${describe(work)}: refused by ${attempt.entry}: ${attempt.reason}`),
    ...orphans.map((start) => `${describeStart(work, start)}: after the refusal`),
  ];
}

/** Any start before this time disproves the answer. */
function disprovedBefore(attempt: CallerAttempt, all: readonly CallerAttempt[]): number {
  const isAlone = all.every((other) => other === attempt || !overlaps(other, attempt));
  return isAlone ? attempt.endedAt! : attempt.sentAt;
}

function overlaps(a: CallerAttempt, b: CallerAttempt): boolean {
  return a.sentAt < (b.endedAt ?? Infinity) && b.sentAt < (a.endedAt ?? Infinity);
}

function allows({ sentAt, endedAt, outcome }: CallerAttempt, start: ReportedStart): boolean {
  if (sentAt > start.at) return false;
  return outcome !== 'not-run' || endedAt! >= start.at;
}

/** "completed" answers that are partial, belong to another work item, or include tasks that never started. */
function wrongAnswers(work: WorkItem, starts: readonly ReportedStart[]): string[] {
  const started = new Set(starts.map(({ index }) => index));
  return work.attempts
    .filter(({ outcome, action }) => outcome === 'completed' && action === 'submit')
    .filter(({ outputs }) => {
      const expected = work.taskMs.map((_, n) => ({ id: work.id, n }));
      const isWhole = JSON.stringify(outputs) === JSON.stringify(expected);
      return !isWhole || expected.some(({ n }) => !started.has(n));
    })
    .map(({ entry, outputs }) => `${describe(work)}: ${entry} answered ${outputs.length} results`);
}

/** Answers with outcomes that the callers' actions don't explain. */
function unexpectedAnswers(work: WorkItem): string[] {
  const isCancelled = work.attempts.some(({ action }) => action === 'cancel');
  return work.attempts
    .filter(({ action }) => action === 'submit')
    .filter(
      ({ outcome }) => !EXPECTED_OUTCOMES.has(outcome) && !(isCancelled && outcome === 'cancelled'),
    )
    .map(({ entry, outcome, reason }) => `${describe(work)}: ${entry} ${outcome} ${reason}`);
}

const EXPECTED_OUTCOMES = new Set([
  ...['completed', 'pending', 'not-run', 'unknown'],
  ...['refused', 'broken', 'overdue'],
]);

function longestWait({ workItems, disruptions }: Journal) {
  const waits = disruptions.flatMap((disruption) =>
    workItems
      .filter(
        ({ createdAt, finalAt }) => createdAt < disruption.at && (finalAt ?? 0) > disruption.at,
      )
      .map(({ finalAt }) => ({ disruption, ms: finalAt! - disruption.at })),
  );
  const longest = waits.reduce((best, wait) => (wait.ms > best.ms ? wait : best), NO_WAIT);
  const { kind, target } = longest.disruption;
  return { longestWaitMs: Math.round(longest.ms), longestWaitAfter: `${kind} ${target}` };
}

const NO_WAIT = { disruption: { at: 0, kind: 'no disruption', target: '' }, ms: 0 };

function describe({ kind, id, keyed, idempotent, taskMs }: WorkItem): string {
  return [kind, id, keyed ? 'keyed' : 'unkeyed', idempotent ? 'idempotent' : '', taskMs.length]
    .filter((part) => part !== '')
    .join(' ');
}

function describeStart(work: WorkItem, { task, backend, at }: ReportedStart): string {
  return `${describe(work)}: ${task} on ${backend} at ${Math.round(at)}`;
}

function countBy<T>(items: readonly T[], nameOf: (item: T) => string): Record<string, number> {
  const counts: Record<string, number> = {};
  items.forEach((item) => {
    counts[nameOf(item)] = (counts[nameOf(item)] ?? 0) + 1;
  });
  return counts;
}

function sum(numbers: readonly number[]): number {
  return numbers.reduce((total, number) => total + number, 0);
}
