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
import EntryStatistics from './EntryStatistics';
import type Outcome from './Outcome';
import type Recording from './Recording';
import Tally from './Tally';

/** Results of a replay. */
interface ReplayResult {
  readonly outcomes: readonly Outcome[];
  /** The outcome of each batch, in the order of the answers. */
  readonly answers: Tally['answers'];
  /** Core-seconds of runs that gave no result. */
  readonly wastedCoreSeconds: number;
  readonly servedCoreSeconds: number;
  /** Messages between entries and sidecars per started task. */
  readonly messagesPerTask: number;
  readonly byEntry: ReturnType<EntryStatistics['summarize']>;
  /** Messages by kind. */
  readonly messages: Readonly<Record<string, number>>;
}

/**
 * Replays a recording through real entries and sidecars over an in-memory network, with simulated
 * backend servers and a manual clock, so the same recording and policy give the same result. If the
 * recording specifies the processor of an entry, the entry's work takes time; otherwise results
 * differ only by the decisions of the policies.
 */
export default class Replay {
  private readonly timer = ManualTimer.create(2);

  private readonly network = MemoryNetwork.create(this.timer);

  private readonly entries: BatchEntry[] = [];

  private readonly sidecars: RunSidecar[] = [];

  private readonly backends: LeasedBackend[] = [];

  private readonly processors: SimulatedCpu[] = [];

  private readonly tally: Tally;

  private readonly statistics: EntryStatistics;

  private readonly absences: Absences;

  private readonly queues: readonly Queue[];

  /** Long-tail tasks, as "batch/index". */
  private readonly tail: ReadonlySet<string>;

  /** Batches that have not been answered. */
  private openBatches = 0;

  private startedTasks = 0;

  /** Work of all started runs, and of all completed batches, thousandths of a core times ms. */
  private startedWork = 0;

  private completedWork = 0;

  private constructor(
    private readonly recording: Recording,
    private readonly policy: BatchPolicy,
  ) {
    this.tally = Tally.of(recording);
    this.statistics = EntryStatistics.of(recording.entries);
    this.absences = Absences.of(recording, {
      onLeave: (entry) => this.network.kill(`e${entry}`),
      onReturn: (entry, untilMs) => this.addEntry(entry, untilMs),
    });
    this.tail = new Set(recording.tail?.tasks.map((task) => task.join('/')));
    this.queues = recording.queues.map((queue) => ({
      ...{ name: queue.name, host: 'h', prefix: `/${queue.name}/`, service: SERVICE, timeoutMs: 0 },
      ...{ priority: queue.priority, maxAttempts: queue.maxAttempts },
      ...{ stretch: queue.stretch, targetLatencyMs: queue.targetLatencyMs },
    }));
  }

  /** Replays a whole recording under a policy. */
  static async run(recording: Recording, policy: BatchPolicy): Promise<ReplayResult> {
    const replay = new Replay(recording, policy);
    await replay.setUp();
    await replay.play();
    return replay.result();
  }

  private async setUp(): Promise<void> {
    const { recording, timer } = this;
    for (let number = 0; number < recording.entries; number += 1) await this.addEntry(number);
    recording.backends.forEach((_, number) => this.addSidecar(number));
    this.setDelays();
    await timer.advance(LINK_SETUP_MS);
    this.entries[0]!.configure(this.table(), 'the recording');
    await timer.advance(LINK_SETUP_MS);
    this.network.resetCounts();
  }

  private async play(): Promise<void> {
    const { timer, recording } = this;
    const startedAt = timer.now();
    recording.troubles
      .filter(({ how }) => how === 'crash')
      .forEach(({ backend, fromMs, untilMs }) => {
        timer.after(fromMs, () => this.backends[backend]!.crash());
        timer.after(untilMs, () => this.startBackend(backend, untilMs));
      });
    this.sidecars.forEach((_, number) =>
      timer.every(HEARTBEAT_MS, () => this.sendHeartbeat(number)),
    );
    this.absences.schedule(timer);
    timer.every(SAMPLE_INTERVAL_MS, () => this.sampleBacklogs());
    recording.batches.forEach((batch, number) =>
      timer.after(batch.atMs, () => this.submit(batch, number)),
    );
    this.openBatches = recording.batches.length;
    while (this.openBatches > 0 && timer.now() - startedAt < MAX_REPLAY_MS)
      await timer.advance(CLOCK_STEP_MS);
  }

  private result(): ReplayResult {
    const sent = Object.values(this.network.messageCounts()).reduce((sum, count) => sum + count, 0);
    return {
      outcomes: this.tally.outcomes,
      answers: this.tally.answers,
      servedCoreSeconds: this.completedWork / CORE_SECOND,
      wastedCoreSeconds: (this.startedWork - this.completedWork) / CORE_SECOND,
      messagesPerTask: sent / Math.max(1, this.startedTasks),
      messages: this.network.messageCounts(),
      byEntry: this.statistics.summarize(this.tally.answers),
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
    const waitMs = CALLER_WAIT_MS;
    const id = String(number);
    const spec = ' '.repeat(recording.queues[batch.queue]!.specBytes ?? 0);
    const submission = { id, queue, spec, waitMs, steps: [step] };
    const home = batch.entry % recording.entries;
    const entry = this.entries[home]!;
    this.absences
      .submitAt(home, () => this.submitTo(entry, submission))
      .then((kind) => {
        this.openBatches -= 1;
        const ending = endings[kind] ?? 'other';
        this.tally.add(batch, ending, timer.now() - arrivedAt);
        if (ending === 'completed') {
          this.completedWork += tasksMs.reduce((sum, ms) => sum + ms, 0) * cpuMilli;
        }
      });
  }

  /** Samples the backlogs of the entries. */
  private sampleBacklogs(): void {
    this.statistics.addSample(
      this.entries.map(({ queuedCount }, index) =>
        this.absences.has(index) ? undefined : queuedCount,
      ),
      SAMPLE_INTERVAL_MS,
    );
  }

  /** Submits a request to an entry, after the processor time that it costs there. */
  private async submitTo(entry: BatchEntry, submission: BatchSubmission): Promise<BatchAnswer> {
    const { processor: costs } = this.recording;
    const processor = this.processors[this.entries.indexOf(entry)];
    if (!processor || !costs) return entry.submit(submission, new AbortController().signal);
    await runOn(processor, costs.requestMs * REFUSAL_SHARE);
    const refusal = entry.refusalOf(submission.id, submission.queue.name);
    if (refusal) return refusal;
    await runOn(processor, costs.requestMs * (1 - REFUSAL_SHARE));
    return entry.submit(submission, new AbortController().signal);
  }

  private async addEntry(number: number, sinceMs = 0): Promise<void> {
    const instance = `e${number}`;
    const zone = `z${number % this.recording.zones}`;
    const parts = this.partsOf(instance, zone, sinceMs);
    const { processor: spec, linkBytesPerMs } = this.recording;
    if (linkBytesPerMs) this.network.limitBandwidth(instance, linkBytesPerMs);
    if (spec) {
      const processor = SimulatedCpu.of(this.timer, spec.share);
      this.processors[number] = processor;
      this.network.setMessageCost(instance, processor, spec.messageMs);
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
    this.startBackend(number, 0);
  }

  private startBackend(number: number, sinceMs: number): void {
    const { timer } = this;
    const id = `b${number}-${sinceMs}`;
    this.backends[number] = LeasedBackend.create({
      ...{ timer, id, service: SERVICE },
      work: ({ batch, index }) => this.workOf(number, Number(batch), index),
      onCrash: () => this.handleCrash(number),
    });
    this.sendHeartbeat(number);
  }

  private handleCrash(number: number): void {
    const { timer, recording } = this;
    if (!recording.crashing || this.troubleOf(number)?.how === 'crash') return;
    const { downMs } = recording.crashing;
    timer.after(downMs, () => this.startBackend(number, timer.now()));
  }

  private sendHeartbeat(number: number): void {
    const { cpuMilli } = this.recording.backends[number]!;
    const isDown = this.troubleOf(number)?.how === 'crash';
    if (isDown) return;
    const capacity = Resources.of({ cpuMilli, memoryMb: 100_000 });
    const report: BackendHeartbeat = this.backends[number]!.nextHeartbeat({ capacity });
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
    this.startedTasks += 1;
    this.startedWork += workMs * cpuMilli;
    const ms = Math.round(workMs * this.durationRatioOf(backend, `${batch}/${index}`));
    const trouble = this.troubleOf(backend);
    if (!trouble) return { ms, fails: false };
    const now = this.playedMs;
    return troubleEffects[trouble.how](ms, trouble, now);
  }

  /** Duration ratio of a task on a backend server, faults apart. */
  private durationRatioOf(backend: number, task: string): number {
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

  /** Position in the recording, ms. */
  private get playedMs(): number {
    return this.timer.now() - 2 * LINK_SETUP_MS;
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
    const addLine: EventLog['info'] = (message, fields) =>
      this.statistics.addLogLine(entry, message, fields);
    return { info: addLine, warn: addLine };
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

/** Resolves when the processor has done work of this cost, ms. */
function runOn(processor: SimulatedCpu, costMs: number): Promise<void> {
  return new Promise((resolve) => {
    processor.run(costMs, resolve);
  });
}

/** How long a task runs before it crashes its backend server, ms. */
const CRASH_MS = 20;

/** Processor time to refuse a request by its headers, as a share of the time to serve it. */
const REFUSAL_SHARE = 0.25;

const SERVICE = 'booking';

/** Links open for this long twice before the load begins, ms, so that entries have finished starting. */
const LINK_SETUP_MS = 2_000;

/** Clock step between checks whether all batches are answered, ms. */
const CLOCK_STEP_MS = 250;

/** The replay ends after this time even if batches are unanswered, ms. */
const MAX_REPLAY_MS = 120_000;

/** How long callers wait for an answer, ms. */
const CALLER_WAIT_MS = 30_000;

const HEARTBEAT_MS = 1_500;

/** Sampling interval of the entries' backlogs, ms. */
const SAMPLE_INTERVAL_MS = 50;

/** One-way latency within an availability zone, ms. */
const IN_ZONE_MS = 0.2;
/** A core-second, in thousandths of a core times ms. */
const CORE_SECOND = 1_000_000;

const endings: Readonly<Record<string, 'completed' | 'refused'>> = {
  completed: 'completed',
  'not-run': 'refused',
};

type Trouble = Recording['troubles'][number];

/** How each kind of trouble changes a task that starts during it. */
const troubleEffects: Readonly<
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
