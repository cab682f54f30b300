import type TimerService from '../../src/core/TimerService';
import type Finding from './Finding';
import type Job from './Job';

/** A job that a caller has sent, with its tasks by the names that backend servers receive. */
interface ObservedJob {
  readonly tasks: readonly string[];
  /** Status of the answer to each time it was sent; 0 for no answer. */
  readonly statuses: number[];
}

/** The result of sending a job once. */
interface Answer {
  readonly id: string;
  readonly entry: string;
  readonly sentAt: number;
  /** 0 if there was no answer; the text then holds the error. */
  readonly status: number;
  readonly text: string;
}

/** A period during which an entry may leave requests unanswered. */
interface Disturbance {
  readonly kind: 'stop' | 'hard';
  readonly from: number;
  until: number;
}

interface ObservedRun {
  readonly backend: string;
  readonly task: string;
  readonly cpuMilli: number;
}

/**
 * Checks the system's guarantees by what callers, backend servers and the output of the processes
 * show. Of the faults it knows only which processes were disturbed, and when.
 */
export default class Checker {
  readonly findings: Finding[] = [];

  /** Counts of answers by status, of runs by result, and of other events. */
  readonly counts: Record<string, number> = {};

  private readonly jobs = new Map<string, ObservedJob>();

  private readonly running = new Map<string, ObservedRun>();

  private readonly startedBatches = new Set<string>();

  private readonly doneTasks = new Set<string>();

  private readonly disturbances = new Map<string, Disturbance[]>();

  private readonly versions = new Map<string, number>();

  /** For each entry, when the jobs were sent that it answered with 200. */
  private readonly completedSentAt = new Map<string, number[]>();

  private readonly cancelRequests = new Set<string>();

  /** Jobs whose cancelling was acknowledged, each with the time of that. */
  private readonly cancelled = new Map<Job, number>();

  /** When the connections of all processes were last disturbed, if nothing else is disturbed any more. */
  private quietSince = Infinity;

  private readonly startedAt: number;

  private constructor(private readonly timer: TimerService) {
    this.startedAt = timer.now();
  }

  /** Creates a checker; the times of its findings count from now. */
  static create(timer: TimerService): Checker {
    return new Checker(timer);
  }

  /** Records that a run has started at an incarnation of a backend server with this capacity. */
  runStarted(run: ObservedRun, capacityMilli: number): void {
    const { backend, task, cpuMilli } = run;
    this.count('runs started');
    const others = [...this.running.values()].filter((other) => other.task === task);
    others.forEach((other) =>
      this.report('two runs of one task', `${task} at ${other.backend} and ${backend}`),
    );
    this.running.set(`${backend} ${task}`, run);
    this.startedBatches.add(batchOf(task));
    if (this.isQuiet && this.cancelledJobs.some(({ id }) => id === batchOf(task)))
      this.report('a cancelled job ran', `${task} at ${backend}`);
    const used = [...this.running.values()]
      .filter((other) => other.backend === backend)
      .reduce((sum, other) => sum + other.cpuMilli, 0);
    if (used > capacityMilli) {
      this.report('capacity exceeded', `${used} of ${capacityMilli} at ${backend} with ${task}`);
    }
    if (cpuMilli <= 0) this.report('a run without a known job', task);
  }

  /** Records that a run has ended, and its result. */
  runEnded(backend: string, task: string, how: string): void {
    this.count(`runs ${how}`);
    this.running.delete(`${backend} ${task}`);
    if (how === 'done') this.doneTasks.add(task);
  }

  /** Records that a caller is about to send a job, possibly again or while an earlier request for it is open. */
  jobSent(id: string, tasks: readonly string[]): void {
    if (!this.jobs.has(id)) this.jobs.set(id, { tasks, statuses: [] });
  }

  /** Checks the result of sending a job once over an established connection. */
  jobAnswered(answer: Answer): void {
    const { id, entry, status, text } = answer;
    const { error = '' } = bodyOf(text);
    this.count(status === 0 ? 'no answer' : `status ${status} ${String(error)}`);
    this.jobs.get(id)?.statuses.push(status);
    if (status === 0) this.checkUnanswered(answer);
    else (checks[status] ?? checks.other)!(this, answer, bodyOf(text));
    if (status !== 200 || bodyOf(text).state === 'cancelled') return;
    const times = this.completedSentAt.get(entry) ?? [];
    this.completedSentAt.set(entry, [...times, answer.sentAt]);
  }

  /** Records that a caller is about to ask for the cancelling of a job. */
  cancelRequested({ id }: Job): void {
    this.cancelRequests.add(id);
  }

  /** Whether a caller has asked for the cancelling of a job. */
  isCancelRequested(id: string): boolean {
    return this.cancelRequests.has(id);
  }

  /** Records that an entry has acknowledged the cancelling of a job. */
  jobCancelled(job: Job): void {
    this.count('cancelled jobs');
    this.cancelled.set(job, this.timer.now());
  }

  /** The jobs that must not run again, whichever entry gets them. */
  get cancelledJobs(): readonly Job[] {
    const oldest = this.timer.now() - CANCELLED_FOR_MS;
    return [...this.cancelled].flatMap(([job, at]) => (at > oldest ? [job] : []));
  }

  /** Records that nothing is disturbed any more but open connections, which have just gone silent. */
  lastDisturbed(): void {
    this.quietSince = this.timer.now() + CONTACT_MS;
  }

  /** The newest configuration that a process has in force, by its output. */
  versionOf(process: string): number {
    return this.versions.get(process) ?? 0;
  }

  private get isQuiet(): boolean {
    return this.timer.now() >= this.quietSince;
  }

  /** Records that the caller's side ended a connection before a job sent over it was answered. */
  connectionClosed(id: string): void {
    this.count('closed by the caller');
    this.jobs.get(id)?.statuses.push(0);
  }

  /** Records a fault that excuses unanswered requests: `stop` is a graceful shutdown, `hard` is anything worse. */
  processDisturbed(process: string, kind: Disturbance['kind']): void {
    const all = this.disturbances.get(process) ?? [];
    this.disturbances.set(process, all);
    all.push({ kind, from: this.timer.now(), until: Infinity });
  }

  /** Records that a process was resumed or started again. */
  processRecovered(process: string): void {
    const until = this.timer.now() + RECOVERY_MS;
    this.disturbances.get(process)?.forEach((each) => {
      each.until = Math.min(each.until, until);
    });
  }

  /** Records that a process is started. */
  processStarted(process: string): void {
    this.versions.delete(process);
    this.count('starts of processes');
  }

  /** Checks that a process has ended only on request. */
  processExited(process: string, how: string, wasAsked: boolean): void {
    if (!wasAsked) this.report('a process ended by itself', `${process} ${how}`);
  }

  /** Checks a line of a process's output. */
  checkLine(process: string, line: string): void {
    if (line.includes('an error reached nobody'))
      this.report('an error reached nobody', `${process}: ${line}`);
    if (!line.includes('a configuration is in force')) return;
    const { version } = bodyOf(line);
    const before = this.versions.get(process) ?? 0;
    if (typeof version !== 'number') return;
    if (version < before)
      this.report('configuration went back', `${process}: ${before}, then ${version}`);
    this.versions.set(process, Math.max(version, before));
  }

  /** Whether each of the entries has completed enough jobs that were sent after this time. */
  haveServedSince(entries: readonly string[], since: number): boolean {
    return entries.every((entry) => {
      const after = (this.completedSentAt.get(entry) ?? []).filter((sentAt) => sentAt > since);
      return after.length >= MIN_SERVED_JOBS;
    });
  }

  /** Runs the final checks, once all callers have ended. */
  checkAtEnd(entries: readonly string[], lastFaultAt: number): void {
    this.jobs.forEach(({ statuses }, id) => {
      const isRefused = statuses.length > 0 && statuses.every((status) => status === 503);
      if (isRefused && this.startedBatches.has(id)) this.report('a refused job ran', id);
    });
    entries
      .filter((entry) => !this.haveServedSince([entry], lastFaultAt))
      .forEach((entry) => this.report('not served again after the last fault', entry));
    if (this.running.size > 0)
      this.report('runs go on without a caller', [...this.running.keys()].join(', '));
  }

  /** Reports a violated guarantee. */
  report(kind: string, what: string): void {
    this.findings.push({ atMs: Math.round(this.timer.now() - this.startedAt), kind, what });
  }

  /** Whether each task of a job was done at some backend server. */
  isDone(id: string): boolean {
    return this.jobs.get(id)?.tasks.every((task) => this.doneTasks.has(task)) ?? false;
  }

  private checkUnanswered({ id, entry, sentAt, text }: Answer): void {
    const now = this.timer.now();
    const isExcused = (this.disturbances.get(entry) ?? []).some(({ kind, from, until }) =>
      kind === 'hard'
        ? from <= now && until >= sentAt
        : from - CLOSING_WINDOW_MS <= sentAt && until >= sentAt,
    );
    if (isExcused) return;
    const tookMs = Math.round(now - sentAt);
    this.report('neither answer nor refusal', `${id} at ${entry} after ${tookMs} ms: ${text}`);
  }

  private count(what: string): void {
    this.counts[what] = (this.counts[what] ?? 0) + 1;
  }
}

/** An entry counts as serving again once it has completed this many jobs. */
const MIN_SERVED_JOBS = 5;

/** A resumed process may lag for this long, ms, while it works through its input backlog. */
const RECOVERY_MS = 1_500;

/** A request sent this shortly before a graceful shutdown may reach a closing connection, ms. */
const CLOSING_WINDOW_MS = 500;

/** Processes whose connections were disturbed keep all time limits again after this time, ms (`contact_ms`). */
const CONTACT_MS = 3_000;

/** A cancelled job must not run for two minutes, ms, less what the checks themselves take. */
const CANCELLED_FOR_MS = 110_000;

type Body = Readonly<Record<string, unknown>>;

type Check = (checker: Checker, answer: Answer, body: Body) => void;

/** Checks of an answer's body, by status. */
const checks: Readonly<Record<string | number, Check>> = {
  200: (checker, { id, text }, { state }) => {
    if (state === 'completed') {
      if (!checker.isDone(id)) checker.report('completed without all tasks done', id);
    } else if (state === 'cancelled') {
      if (!checker.isCancelRequested(id)) checker.report('cancelled without a request', id);
    } else if (state !== 'failed') checker.report('an answer is not whole', `${id}: 200 ${text}`);
  },
  503: (checker, { id, text }, { error, retry_after_ms: retryAfterMs }) => {
    if (typeof error !== 'string' || typeof retryAfterMs !== 'number') {
      checker.report('an answer is not whole', `${id}: 503 ${text}`);
    }
  },
  504: (checker, { id, text }, { error }) => {
    if (typeof error !== 'string') checker.report('an answer is not whole', `${id}: 504 ${text}`);
  },
  other: (checker, { id, status, text }) =>
    checker.report('an answer is not whole', `${id}: ${status} ${text}`),
};

function bodyOf(text: string): Body {
  try {
    return JSON.parse(text) as Body;
  } catch {
    // The checks report the fields that are missing because the text is not JSON.
    return {};
  }
}

function batchOf(task: string): string {
  return task.split('.')[0]!;
}
