import type Attempt from './Attempt';
import type Findings from './Findings';
import type Journal from './Journal';
import type Start from './Start';
import type Work from './Work';

/**
 * Checks the promises to callers from what callers and backend servers saw,
 * without any knowledge of how the system keeps them.
 */
export default function checkJournal(journal: Journal): Findings {
  const { works, starts } = journal;
  const byWork = groupById(starts);
  const ids = new Set(works.map(({ id }) => id));
  const startsOf = (work: Work) => byWork.get(work.id) ?? [];
  const attempts = works.flatMap((work) => work.attempts);
  const submitted = attempts.filter(({ action }) => action === 'submit');
  const repeated = works.map((work) => ({ work, repeats: repeatsOf(startsOf(work)) }));
  return {
    jobs: works.filter(({ kind }) => kind === 'job').length,
    requests: works.filter(({ kind }) => kind === 'request').length,
    attempts: attempts.length,
    finals: countBy(works, ({ final }) => final ?? 'none'),
    answers: countBy(submitted, ({ outcome }) => outcome),
    doubts: countBy(
      submitted.filter(({ outcome }) => outcome === 'unknown'),
      ({ reason }) => reason.replace(/task \d+/, 'task'),
    ),
    starts: starts.length,
    waste: sum(repeated.filter(({ work }) => work.idempotent).map(({ repeats }) => repeats.length)),
    broken: {
      doubled: repeated
        .filter(({ work }) => !work.idempotent)
        .flatMap(({ work, repeats }) => repeats.map((start) => describeStart(work, start))),
      lost: works.filter(({ final }) => final === undefined).map((work) => describe(work)),
      falseNotRun: works.flatMap((work) => falseNotRuns(work, startsOf(work))),
      wrongAnswers: works.flatMap((work) => wrongAnswers(work, startsOf(work))),
      unexpectedAnswers: works.flatMap(unexpectedAnswers),
      unknownStarts: starts
        .filter(({ id }) => !ids.has(id))
        .map(({ task, backend }) => `${task} on ${backend}`),
      crashes: journal.crashes,
    },
    ...longestWait(journal),
  };
}

function groupById(starts: readonly Start[]): Map<string, Start[]> {
  const groups = new Map<string, Start[]>();
  starts.forEach((start) => {
    const group = groups.get(start.id);
    if (group) group.push(start);
    else groups.set(start.id, [start]);
  });
  return groups;
}

/** Starts of tasks that had been started before. */
function repeatsOf(starts: readonly Start[]): Start[] {
  const seen = new Set<number>();
  return starts.filter(({ index }) => {
    if (seen.has(index)) return true;
    seen.add(index);
    return false;
  });
}

/**
 * Answers "not run" that do not hold: something had started before the caller
 * asked, or while nobody else asked, or a start came although all who had
 * asked were told that it did not run.
 */
function falseNotRuns(work: Work, starts: readonly Start[]): string[] {
  const submitted = work.attempts.filter(({ action }) => action === 'submit');
  const refused = submitted.filter(({ outcome }) => outcome === 'not-run');
  const early = refused.filter((attempt) =>
    starts.some((start) => start.at < falseBefore(attempt, submitted)),
  );
  const orphans = starts.filter((start) => !submitted.some((attempt) => allows(attempt, start)));
  return [
    ...early.map((attempt) => `${describe(work)}: refused by ${attempt.entry}: ${attempt.reason}`),
    ...orphans.map((start) => `${describeStart(work, start)}: after the refusal`),
  ];
}

/** A start before this time proves the answer false. */
function falseBefore(attempt: Attempt, all: readonly Attempt[]): number {
  const isAlone = all.every((other) => other === attempt || !overlaps(other, attempt));
  return isAlone ? attempt.endedAt! : attempt.sentAt;
}

function overlaps(a: Attempt, b: Attempt): boolean {
  return a.sentAt < (b.endedAt ?? Infinity) && b.sentAt < (a.endedAt ?? Infinity);
}

function allows({ sentAt, endedAt, outcome }: Attempt, start: Start): boolean {
  if (sentAt > start.at) return false;
  return outcome !== 'not-run' || endedAt! >= start.at;
}

/** Answers "completed" that are partial, foreign, or name tasks that never started. */
function wrongAnswers(work: Work, starts: readonly Start[]): string[] {
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

/** Outcomes that no caller here has given a cause for. */
function unexpectedAnswers(work: Work): string[] {
  const isCancelled = work.attempts.some(({ action }) => action === 'cancel');
  return work.attempts
    .filter(({ action }) => action === 'submit')
    .filter(({ outcome }) => !EXPECTED.has(outcome) && !(isCancelled && outcome === 'cancelled'))
    .map(({ entry, outcome, reason }) => `${describe(work)}: ${entry} ${outcome} ${reason}`);
}

const EXPECTED = new Set([
  ...['completed', 'pending', 'not-run', 'unknown'],
  ...['refused', 'broken', 'overdue'],
]);

function longestWait({ works, disruptions }: Journal) {
  const waits = disruptions.flatMap((disruption) =>
    works
      .filter(({ madeAt, finalAt }) => madeAt < disruption.at && (finalAt ?? 0) > disruption.at)
      .map(({ finalAt }) => ({ disruption, ms: finalAt! - disruption.at })),
  );
  const longest = waits.reduce((best, wait) => (wait.ms > best.ms ? wait : best), NO_WAIT);
  const { kind, target } = longest.disruption;
  return { longestWaitMs: Math.round(longest.ms), longestWaitAfter: `${kind} ${target}` };
}

const NO_WAIT = { disruption: { at: 0, kind: 'no disruption', target: '' }, ms: 0 };

function describe({ kind, id, keyed, idempotent, taskMs }: Work): string {
  return [kind, id, keyed ? 'keyed' : 'unkeyed', idempotent ? 'idempotent' : '', taskMs.length]
    .filter((part) => part !== '')
    .join(' ');
}

function describeStart(work: Work, { task, backend, at }: Start): string {
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
