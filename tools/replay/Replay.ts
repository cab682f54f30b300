import type BatchAnswer from '../../src/batches/BatchAnswer';
import BatchEntry from '../../src/batches/BatchEntry';
import type BatchPolicy from '../../src/batches/BatchPolicy';
import type BatchSubmission from '../../src/batches/BatchSubmission';
import type Queue from '../../src/batches/Queue';
import QueueTable from '../../src/batches/QueueTable';
import Random from '../../src/core/Random';
import type EventLog from '../../src/observe/EventLog';
import Resources from '../../src/room/Resources';
import type BackendHeartbeat from '../../src/runs/BackendHeartbeat';
import RunSidecar from '../../src/runs/RunSidecar';
import ManualTimer from '../../test/support/ManualTimer';
import MemoryNetwork from '../../test/support/MemoryNetwork';
import SimulatedCpu from '../../test/support/SimulatedCpu';
import LeasedBackend from '../leasedBackend/LeasedBackend';
import Absences from './Absences';
import EntryFigures from './EntryFigures';
import type Outcome from './Outcome';
import type Recording from './Recording';
import Tally from './Tally';

/** What a replay came to. */
interface ReplayResult {
  readonly outcomes: readonly Outcome[];
  /** Each batch by itself, in the order of the answers. */
  readonly answers: Tally['answers'];
  /** Core-seconds of starts that gave no result. */
  readonly wastedCoreSeconds: number;
  readonly servedCoreSeconds: number;
  /** Messages between entries and sidecars for each task that was started. */
  readonly messagesATask: number;
  readonly byEntry: ReturnType<EntryFigures['of']>;
  /** Messages by kind. */
  readonly messages: Readonly<Record<string, number>>;
}

/**
 * Replays a recording through the real entries and sidecars over a network in memory, with stand-ins
 * for the backend servers and a clock that is moved by hand: the same recording and policy give the
 * same result. Where the recording says what an entry has of a processor, its work takes time; else
 * differences are those of the decisions alone.
 */
export default class Replay {
  private readonly timer = ManualTimer.create(2);

  private readonly network = MemoryNetwork.create(this.timer);

  private readonly entries: BatchEntry[] = [];

  private readonly sidecars: RunSidecar[] = [];

  private readonly backends: LeasedBackend[] = [];

  private readonly processors: SimulatedCpu[] = [];

  private readonly tally: Tally;

  private readonly figures: EntryFigures;

  private readonly absences: Absences;

  private readonly queues: readonly Queue[];

  /** Tasks that take longer than their batch's others, as "batch/number". */
  private readonly tail: ReadonlySet<string>;

  private open = 0;

  private starts = 0;

  private startedWork = 0;

  private doneWork = 0;

  private constructor(
    private readonly recording: Recording,
    private readonly policy: BatchPolicy,
  ) {
    this.tally = Tally.of(recording);
    this.figures = EntryFigures.of(recording.entries);
    this.absences = Absences.of(recording, {
      left: (entry) => this.network.kill(`e${entry}`),
      returned: (entry, untilMs) => this.addEntry(entry, untilMs),
    });
    this.tail = new Set(recording.tail?.tasks.map((task) => task.join('/')));
    this.queues = recording.queues.map((queue) => ({
      ...{ name: queue.name, host: 'h', prefix: `/${queue.name}/`, service: SERVICE, timeoutMs: 0 },
      ...{ priority: queue.priority, maxAttempts: queue.maxAttempts },
      ...{ stretch: queue.stretch, targetLatencyMs: queue.targetLatencyMs },
    }));
  }

  /** Plays a recording to its end with the decisions of a policy. */
  static async run(recording: Recording, policy: BatchPolicy): Promise<ReplayResult> {
    const replay = new Replay(recording, policy);
    await replay.begin();
    await replay.play();
    return replay.result();
  }

  private async begin(): Promise<void> {
    const { recording, timer } = this;
    for (let number = 0; number < recording.entries; number += 1) await this.addEntry(number);
    recording.backends.forEach((_, number) => this.addSidecar(number));
    this.setDelays();
    await timer.advance(LINK_MS);
    this.entries[0]!.configure(this.table(), 'the recording');
    await timer.advance(LINK_MS);
    this.network.resetCounts();
  }

  private async play(): Promise<void> {
    const { timer, recording } = this;
    const startedAt = timer.now();
    recording.troubles
      .filter(({ how }) => how === 'crash')
      .forEach(({ backend, fromMs, untilMs }) => {
        timer.after(fromMs, () => this.backends[backend]!.crash());
        timer.after(untilMs, () => this.renewBackend(backend, untilMs));
      });
    this.sidecars.forEach((_, number) => timer.every(HEARTBEAT_MS, () => this.announce(number)));
    this.absences.arrange(timer);
    timer.every(LOOK_MS, () => this.look());
    recording.batches.forEach((batch, number) =>
      timer.after(batch.atMs, () => this.submit(batch, number)),
    );
    this.open = recording.batches.length;
    while (this.open > 0 && timer.now() - startedAt < LONGEST_MS) await timer.advance(STEP_MS);
  }

  private result(): ReplayResult {
    const sent = Object.values(this.network.messageCounts()).reduce((sum, count) => sum + count, 0);
    return {
      outcomes: this.tally.outcomes,
      answers: this.tally.answers,
      servedCoreSeconds: this.doneWork / CORE_SECOND,
      wastedCoreSeconds: (this.startedWork - this.doneWork) / CORE_SECOND,
      messagesATask: sent / Math.max(1, this.starts),
      messages: this.network.messageCounts(),
      byEntry: this.figures.of(this.tally.answers),
    };
  }

  private submit(batch: Recording['batches'][number], number: number): void {
    const { timer, recording } = this;
    const queue = this.queues[batch.queue]!;
    const arrivedAt = timer.now();
    const { cpuMilli, estimateMs, tasksMs } = batch;
    const step = {
      ...{ count: tasksMs.length, estimateMs, after: [], label: '' },
      ...{ preferredLabel: '', mostTogether: 0 },
      needs: Resources.of({ cpuMilli, memoryMb: 64 }),
    };
    const waitMs = WAIT_MS;
    const id = String(number);
    const spec = ' '.repeat(recording.queues[batch.queue]!.specBytes ?? 0);
    const submission = { id, queue, spec, waitMs, steps: [step] };
    const at = batch.entry % recording.entries;
    const entry = this.entries[at]!;
    this.absences
      .answerOf(at, () => this.take(entry, submission))
      .then((kind) => {
        this.open -= 1;
        const ending = endings[kind] ?? 'other';
        this.tally.add(batch, ending, timer.now() - arrivedAt);
        if (ending === 'completed') {
          this.doneWork += tasksMs.reduce((sum, ms) => sum + ms, 0) * cpuMilli;
        }
      });
  }

  /** Looks at the lines of the entries. */
  private look(): void {
    this.figures.look(
      this.entries.map(({ queuedCount }, at) => (this.absences.has(at) ? undefined : queuedCount)),
      LOOK_MS,
    );
  }

  /** Has an entry take a request when its processor comes to it. */
  private async take(entry: BatchEntry, submission: BatchSubmission): Promise<BatchAnswer> {
    const { processor: has } = this.recording;
    const processor = this.processors[this.entries.indexOf(entry)];
    if (!processor || !has) return entry.submit(submission, new AbortController().signal);
    await ran(processor, has.requestMs * REFUSAL_SHARE);
    const refusal = entry.refusalOf(submission.id, submission.queue.name);
    if (refusal) return refusal;
    await ran(processor, has.requestMs * (1 - REFUSAL_SHARE));
    return entry.submit(submission, new AbortController().signal);
  }

  private async addEntry(number: number, sinceMs = 0): Promise<void> {
    const instance = `e${number}`;
    const zone = `z${number % this.recording.zones}`;
    const parts = this.partsOf(instance, zone, sinceMs);
    const { processor: has, linkBytesPerMs } = this.recording;
    if (linkBytesPerMs) this.network.limitBandwidth(instance, linkBytesPerMs);
    if (has) {
      const processor = SimulatedCpu.of(this.timer, has.share);
      this.processors[number] = processor;
      this.network.setMessageCost(instance, processor, has.messageMs);
    }
    const entry = BatchEntry.create({
      ...parts,
      log: this.logOf(number),
      timer: this.processors[number] ?? this.timer,
      listen: `${instance}:1`,
      seeds: this.entryAddresses(),
      policy: this.policy,
    });
    this.entries[number] = entry;
    await entry.start();
  }

  private addSidecar(number: number): void {
    const { zone } = this.recording.backends[number]!;
    const sidecar = RunSidecar.start({
      ...this.partsOf(`s${number}`, `z${zone}`),
      seeds: this.entryAddresses(),
      findEntries: async () => [],
      connect: () => this.backends[number]!,
    });
    this.sidecars[number] = sidecar;
    this.renewBackend(number, 0);
  }

  private renewBackend(number: number, sinceMs: number): void {
    const { timer } = this;
    const id = `b${number}-${sinceMs}`;
    this.backends[number] = LeasedBackend.create({
      ...{ timer, id, service: SERVICE },
      work: ({ batch, index }) => this.workOf(number, Number(batch), index),
      crashed: () => this.crashed(number),
    });
    this.announce(number);
  }

  private crashed(number: number): void {
    const { timer, recording } = this;
    if (!recording.crashing || this.troubleOf(number)?.how === 'crash') return;
    const { downMs } = recording.crashing;
    timer.after(downMs, () => this.renewBackend(number, timer.now()));
  }

  private announce(number: number): void {
    const { cpuMilli } = this.recording.backends[number]!;
    const isDown = this.troubleOf(number)?.how === 'crash';
    if (isDown) return;
    const capacity = Resources.of({ cpuMilli, memoryMb: 100_000 });
    const report: BackendHeartbeat = this.backends[number]!.report({ capacity });
    this.sidecars[number]!.handleHeartbeat(report);
  }

  private workOf(
    backend: number,
    batch: number,
    index: number,
  ): { ms: number; fails: boolean; crashes?: boolean } {
    const { tasksMs, cpuMilli } = this.recording.batches[batch]!;
    if (index === 0 && this.recording.crashing?.batches.includes(batch)) {
      return { ms: CRASH_MS, fails: true, crashes: true };
    }
    const workMs = tasksMs[index] ?? 0;
    this.starts += 1;
    this.startedWork += workMs * cpuMilli;
    const ms = Math.round(workMs * this.timesOf(backend, `${batch}/${index}`));
    const trouble = this.troubleOf(backend);
    if (!trouble) return { ms, fails: false };
    const now = this.playedMs;
    return spoilt[trouble.how](ms, trouble, now);
  }

  /** Times that a task's work takes on a backend server, troubles apart. */
  private timesOf(backend: number, task: string): number {
    const { backends, tail } = this.recording;
    const { speed = 1 } = backends[backend]!;
    return this.tail.has(task) && tail ? speed * tail.times : speed;
  }

  private troubleOf(backend: number): Recording['troubles'][number] | undefined {
    const now = this.playedMs;
    return this.recording.troubles.find(
      (trouble) => trouble.backend === backend && now >= trouble.fromMs && now < trouble.untilMs,
    );
  }

  /** How far the recording has been played, ms. */
  private get playedMs(): number {
    return this.timer.now() - 2 * LINK_MS;
  }

  private setDelays(): void {
    const { entries, backends, zones, zoneMs } = this.recording;
    for (let entry = 0; entry < entries; entry += 1) {
      backends.forEach(({ zone }, sidecar) => {
        const isNear = entry % zones === zone;
        this.network.delay(`e${entry}`, `s${sidecar}`, isNear ? IN_ZONE_MS : zoneMs);
      });
    }
  }

  private table(): QueueTable {
    return QueueTable.of({
      version: 1,
      queues: this.queues,
      limits: QueueTable.none.limits,
    });
  }

  private entryAddresses(): readonly string[] {
    return Array.from({ length: this.recording.entries }, (_, number) => `e${number}:1`);
  }

  private logOf(entry: number) {
    const hear: EventLog['info'] = (message, fields) => this.figures.hear(entry, message, fields);
    return { info: hear, warn: hear };
  }

  private partsOf(instance: string, zone: string, sinceMs = 0) {
    const { timer } = this;
    return {
      ...{ timer, instance, zone, cluster: 'c', incarnation: `${instance}.${sinceMs}` },
      random: Random.fromSeed(1),
      network: this.network.endpoint(instance),
      log: { info: () => undefined, warn: () => undefined },
    };
  }
}

/** Resolves when the processor has done something that takes this long, ms. */
function ran(processor: SimulatedCpu, costMs: number): Promise<void> {
  return new Promise((resolve) => {
    processor.run(costMs, resolve);
  });
}

/** How long a task runs before it crashes its backend server, ms. */
const CRASH_MS = 20;

/** What it takes to refuse a request by its head, as a share of serving it. */
const REFUSAL_SHARE = 0.25;

const SERVICE = 'booking';

/** Time for links to open before the load begins, ms, twice: entries are no longer starting then. */
const LINK_MS = 2_000;

/** How far the clock is moved between two looks whether all is answered, ms. */
const STEP_MS = 250;

/** Nothing of a recording takes longer, ms. */
const LONGEST_MS = 120_000;

/** How long callers wait, ms. */
const WAIT_MS = 30_000;

const HEARTBEAT_MS = 1_500;

/** How often the lines of the entries are looked at, ms. */
const LOOK_MS = 50;

const IN_ZONE_MS = 0.2;
const CORE_SECOND = 1_000_000;

const endings: Readonly<Record<string, 'completed' | 'refused'>> = {
  completed: 'completed',
  'not-run': 'refused',
};

type Trouble = Recording['troubles'][number];

/** What trouble does to a task that starts during it. */
const spoilt: Readonly<
  Record<
    Trouble['how'],
    (ms: number, trouble: Trouble, now: number) => { ms: number; fails: boolean }
  >
> = {
  slow: (ms, { times }) => ({ ms: ms * times, fails: false }),
  hang: (ms, { untilMs }, now) => ({ ms: untilMs - now + ms, fails: false }),
  fail: () => ({ ms: 5, fails: true }),
  crash: (ms) => ({ ms, fails: true }),
};
