import { setMaxListeners } from 'node:events';
import Random from '../../src/core/Random';
import SystemTimer from '../../src/core/SystemTimer';
import Cluster from '../harness/Cluster';
import type ClusterSize from '../harness/ClusterSize';
import ChaosCaller from './ChaosCaller';
import chaosManifest from './chaosManifest';
import Disruptor from './Disruptor';
import EntryClient from './EntryClient';
import type Journal from './Journal';
import LogFolder from './LogFolder';
import probeSlots from './probeSlots';
import Recorder from './Recorder';
import RollingReplacement from './RollingReplacement';
import Supervisor from './Supervisor';

/** Time that callers have to get their final answers after the last disruption. */
const FINISH_TIMEOUT_MS = 90_000;
const SETTLE_MS = 2000;

interface ChaosOptions {
  readonly seconds: number;
  readonly seed: number;
  readonly callers: number;
  readonly size: ClusterSize;
  readonly rolling: boolean;
  /** Clock skew that the entries are configured to tolerate, in milliseconds. */
  readonly skewMs: number;
  /** Kinds of disruptions to choose from; all if empty. */
  readonly kinds: readonly string[];
  /** Folder for the output of the processes; undefined to discard it. */
  readonly logs: string | undefined;
}

/** Runs a whole system under load with disruptions, and records what callers and backend servers observe in a journal. */
export default class ChaosRun {
  readonly journal: Journal = { workItems: [], starts: [], disruptions: [], crashes: [] };

  /** Number of slots in which no task could be started at the end. */
  unusableSlots = 0;

  /** The rolling replacement of all processes, if requested. */
  rolling: RollingReplacement | undefined;

  private readonly timer = SystemTimer.create();

  private readonly recorder = Recorder.into(this.journal.starts);

  private readonly logs: LogFolder;

  private readonly supervisor: Supervisor;

  private readonly stopCallers = new AbortController();

  private cluster!: Cluster;

  private client!: EntryClient;

  private constructor(private readonly options: ChaosOptions) {
    this.logs = LogFolder.at(options.logs);
    this.supervisor = Supervisor.create({
      timer: this.timer,
      random: this.random(1),
      cluster: () => this.cluster,
      journal: this.journal,
    });
  }

  /** Creates a run without starting any process. */
  static create(options: ChaosOptions): ChaosRun {
    return new ChaosRun(options);
  }

  /** Starts the system, disrupts it under load, waits until it has recovered, and stops it. */
  async run(): Promise<void> {
    await this.start();
    const callers = this.startCallers();
    await this.disrupt();
    await this.supervisor.whenRestarted();
    await this.timer.sleep(SETTLE_MS);
    this.stopCallers.abort();
    await Promise.race([callers, this.timer.sleep(FINISH_TIMEOUT_MS)]);
    const { size } = this.options;
    const slots = size.backends * size.slots;
    const { entryNames } = this.cluster;
    this.unusableSlots = await probeSlots(
      ...([this.client, entryNames, slots, this.journal, this.timer] as const),
    );
    this.supervisor.close();
    await this.cluster.stop();
    await this.client.close();
    this.recorder.close();
  }

  private async start(): Promise<void> {
    const watch = {
      printed: (name: string, line: string) => this.logs.add(name, line),
      exited: (name: string, code: number | null, signal: NodeJS.Signals | null) => {
        this.logs.add(name, `exited with code ${code}, signal ${signal}`);
        this.supervisor.handleExit(name, code, signal);
      },
    };
    const recorder = await this.recorder.listen();
    const { size, skewMs } = this.options;
    const overrides = { entry: { recovery: { clockSkewMs: skewMs } } };
    this.cluster = await Cluster.start(size, chaosManifest, { watch, recorder, ...overrides });
    this.client = EntryClient.of(this.cluster);
    const { entries } = size;
    const joined = this.cluster.entryNames.map((entry) =>
      this.cluster.processes.waitFor(entry, new RegExp(`view ${entries}:`)),
    );
    await Promise.all(joined);
    this.supervisor.watch(this.cluster.processes.names.filter((name) => name !== 'platform'));
  }

  private async startCallers(): Promise<void> {
    const { callers } = this.options;
    setMaxListeners(0, this.stopCallers.signal);
    const { timer, client, journal, cluster } = this;
    const runs = Array.from({ length: callers }, (_, index) => {
      const random = this.random(100 + index);
      const entries = () => cluster.entryNames;
      const caller = ChaosCaller.create({
        timer,
        client,
        random,
        entries,
        workItems: journal.workItems,
      });
      return caller.run(this.stopCallers.signal);
    });
    await Promise.all(runs);
  }

  private async disrupt(): Promise<void> {
    const { timer, cluster, supervisor, journal } = this;
    if (this.options.rolling) {
      this.rolling = RollingReplacement.create(timer, cluster, supervisor, journal);
      await timer.sleep(SETTLE_MS);
      await this.rolling.run();
      return;
    }
    const stop = new AbortController();
    setMaxListeners(0, stop.signal);
    const { kinds, seconds } = this.options;
    const random = this.random(2);
    const disruptor = Disruptor.create({ timer, random, cluster, supervisor, journal, kinds });
    timer.after(seconds * 1000, () => stop.abort());
    await disruptor.run(stop.signal);
  }

  /** A separate random source for each part, so that draws of one part don't affect another. */
  private random(part: number): Random {
    return Random.fromSeed(this.options.seed * 1000 + part);
  }
}
