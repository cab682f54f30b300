import { setMaxListeners } from 'node:events';
import Random from '../../src/core/Random';
import SystemTimer from '../../src/core/SystemTimer';
import Cluster from '../harness/Cluster';
import type ClusterSize from '../harness/ClusterSize';
import Caller from './Caller';
import chaosManifest from './chaosManifest';
import Disruptor from './Disruptor';
import EntryClient from './EntryClient';
import type Journal from './Journal';
import LogFolder from './LogFolder';
import probeSlots from './probeSlots';
import Recorder from './Recorder';
import Rolling from './Rolling';
import Supervisor from './Supervisor';

/** How long callers get for their final answers once nothing is disturbed any more. */
const FINISH_MS = 90_000;
const CALM_MS = 2000;

interface ChaosOptions {
  readonly seconds: number;
  readonly seed: number;
  readonly callers: number;
  readonly size: ClusterSize;
  readonly rolling: boolean;
  /** By how much the system is told that clocks may differ, milliseconds. */
  readonly skewMs: number;
  /** Kinds of disruptions to choose from; all when empty. */
  readonly kinds: readonly string[];
  /** Folder for what the processes print. */
  readonly logs: string | undefined;
}

/** A whole system under load and disturbance, with a journal of all that was seen. */
export default class ChaosRun {
  readonly journal: Journal = { works: [], starts: [], disruptions: [], crashes: [] };

  /** Slots that no task could be started in at the end. */
  unusableSlots = 0;

  /** The replacement of all processes, when that was asked for. */
  rolling: Rolling | undefined;

  private readonly timer = SystemTimer.create();

  private readonly recorder = Recorder.into(this.journal.starts);

  private readonly logs: LogFolder;

  private readonly supervisor: Supervisor;

  private readonly callersEnd = new AbortController();

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

  /** Creates a run that has not begun. */
  static create(options: ChaosOptions): ChaosRun {
    return new ChaosRun(options);
  }

  /** Starts the system, disturbs it under load, lets it come to rest and stops it. */
  async run(): Promise<void> {
    await this.start();
    const callers = this.startCallers();
    await this.disturb();
    await this.supervisor.settled();
    await this.timer.sleep(CALM_MS);
    this.callersEnd.abort();
    await Promise.race([callers, this.timer.sleep(FINISH_MS)]);
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
        this.supervisor.exited(name, code, signal);
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
    setMaxListeners(0, this.callersEnd.signal);
    const { timer, client, journal, cluster } = this;
    const runs = Array.from({ length: callers }, (_, number) => {
      const random = this.random(100 + number);
      const entries = () => cluster.entryNames;
      const caller = Caller.create({ timer, client, random, entries, works: journal.works });
      return caller.run(this.callersEnd.signal);
    });
    await Promise.all(runs);
  }

  private async disturb(): Promise<void> {
    const { timer, cluster, supervisor, journal } = this;
    if (this.options.rolling) {
      this.rolling = Rolling.create(timer, cluster, supervisor, journal);
      await timer.sleep(CALM_MS);
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

  /** A source of its own for each part, so that one part's draws do not shift another's. */
  private random(part: number): Random {
    return Random.fromSeed(this.options.seed * 1000 + part);
  }
}
