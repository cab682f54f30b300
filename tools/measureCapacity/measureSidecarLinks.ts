import Cluster from '../harness/Cluster';
import Load from './Load';
import manifestOf from './manifestOf';
import pause from './pause';
import putManifest from './putManifest';
import putNextView from './putNextView';
import sampleProcess from './sampleProcess';
import Series from './Series';
import StandInLinks from './StandInLinks';

/** Links of each process of stand-ins; they are opened in this order and ended in the other. */
const STEPS = [50, 50, 100, 200];
const CHANGES_AT = [100, 400];
const SLOTS = 8;
const SETTLE_SECONDS = 2;
/** Longer than an entry awaits a sidecar whose link has ended. */
const ENDED_SECONDS = 4;
const JOINED_SECONDS = 2;
const WINDOW_SECONDS = 3;
const CHANGES = 20;
const TEAMS = [10, 56] as const;
const AFTER_CHANGES_SECONDS = 0.5;

const LINK = 'sidecar link';

/** What an entry spends on the links of sidecars: idle, on new configurations and on views. */
const series = {
  memory: Series.over(LINK, 'entry, idle: resident memory', 'MB'),
  cpu: Series.over(LINK, 'entry, idle: processor time', 'ms/s'),
  bytes: Series.over(LINK, 'entry, idle: bytes both ways', 'bytes/s'),
  messages: Series.over(LINK, 'entry, idle: messages both ways', '1/s'),
  busyBytes: Series.over(LINK, 'entry, idle, 56 teams known: bytes both ways', 'bytes/s'),
  changeBytes: TEAMS.map((teams) =>
    Series.over(LINK, `configuration of ${teams} teams: bytes both ways`, 'bytes'),
  ),
  changeCpu: TEAMS.map((teams) =>
    Series.over(LINK, `configuration of ${teams} teams: processor time of the entry`, 'ms'),
  ),
  changeMs: TEAMS.map((teams) =>
    Series.over(LINK, `configuration of ${teams} teams: written to in force at all links`, 'ms'),
  ),
  viewBytes: Series.over(LINK, 'view: bytes both ways, with the confirmation', 'bytes'),
  viewCpu: Series.over(LINK, 'view: processor time of the entry, with the confirmation', 'ms'),
  viewMs: Series.over(LINK, 'view: written to confirmed by all links', 'ms'),
  removalMs: Series.of('entry killed to its removal known at all links', 'ms'),
};

/** Runs one round over all sizes. */
export default async function measureSidecarLinks(round: number): Promise<void> {
  const size = { entries: 1, backends: 0, slots: SLOTS, connections: 64, zones: 3 };
  const cluster = await Cluster.start(size, manifestOf(TEAMS[0]));
  try {
    await new Round(cluster, round).run();
  } finally {
    await cluster.stop();
  }
}

/** The series that the rounds fill. */
measureSidecarLinks.series = (): Series[] => Object.values(series).flat();

/** One round: up in steps for memory and changes, then down again for the processor time of a warm process. */
class Round {
  private version = 1;

  private links!: StandInLinks;

  constructor(
    private readonly cluster: Cluster,
    private readonly round: number,
  ) {}

  async run(): Promise<void> {
    const { processes } = this.cluster;
    await processes.waitFor('entry-1', /view 1/);
    const peers = await processes.waitFor('entry-1', /for peers on ([\d.:]+)/);
    this.links = StandInLinks.to(processes, peers, SLOTS);
    await this.noteMemory();
    for (const step of STEPS) {
      await this.links.add(step);
      await this.noteMemory();
      if (CHANGES_AT.includes(this.links.count)) await this.change();
    }
    for (let left = STEPS.length; left > 1; left -= 1) {
      await this.noteIdle();
      await this.removeLast();
    }
    await this.links.add(STEPS.at(-1)!);
    await this.busy();
    await this.removal();
  }

  private async noteMemory(): Promise<void> {
    await pause(SETTLE_SECONDS);
    const { rssMb } = sampleProcess(this.cluster.processes.pid('entry-1'));
    series.memory.add(this.round, rssMb, this.links.count);
  }

  private async noteIdle(): Promise<void> {
    await pause(SETTLE_SECONDS);
    const { count } = this.links;
    const used = await this.window();
    series.cpu.add(this.round, used.cpuMsPerSecond, count);
    series.bytes.add(this.round, used.bytesPerSecond, count);
    series.messages.add(this.round, used.messagesPerSecond, count);
  }

  private async noteBusyBytes(): Promise<void> {
    await pause(SETTLE_SECONDS);
    const { bytesPerSecond } = await this.window();
    series.busyBytes.add(this.round, bytesPerSecond, this.links.count);
  }

  /** Has every team run a task, so that an entry has loads of each to tell, and looks at idle links again. */
  private async busy(): Promise<void> {
    const load = Load.to(this.cluster.callersOf('entry-1'), 1, 0);
    const teams = Array.from({ length: TEAMS[1] }, (_, at) => `team-${at + 1}`);
    await Promise.all(teams.map((team) => load.submit(team)));
    await load.close();
    if (load.failed > 0) throw new Error(`${load.failed} jobs failed`);
    await this.noteBusyBytes();
    await this.removeLast();
    await this.noteBusyBytes();
  }

  private async removeLast(): Promise<void> {
    await this.links.removeLast();
    await pause(ENDED_SECONDS);
  }

  private async window() {
    const pid = this.cluster.processes.pid('entry-1');
    const before = sampleProcess(pid);
    const from = this.links.report();
    await pause(WINDOW_SECONDS);
    const after = sampleProcess(pid);
    const to = this.links.report();
    const seconds = (after.at - before.at) / 1000;
    const bytes = to.bytesReceived + to.bytesSent - from.bytesReceived - from.bytesSent;
    const messages =
      to.messagesReceived + to.messagesSent - from.messagesReceived - from.messagesSent;
    return {
      cpuMsPerSecond: (after.cpuMs - before.cpuMs) / seconds,
      bytesPerSecond: bytes / seconds,
      messagesPerSecond: messages / seconds,
    };
  }

  private async change(): Promise<void> {
    for (const [at, teams] of TEAMS.entries()) await this.configurations(at, teams);
    await this.views();
  }

  private async configurations(at: number, teams: number): Promise<void> {
    const { platform } = this.cluster;
    const cost = await this.costOfEach(async () => {
      this.version += 1;
      const { version } = this;
      const written = Date.now();
      await putManifest(platform, version, manifestOf(teams));
      const heard = await this.links.until(({ configuration }) => configuration >= version);
      series.changeMs[at]!.add(this.round, heard.configurationAt - written, this.links.count);
    });
    series.changeBytes[at]!.add(this.round, cost.bytes, this.links.count);
    series.changeCpu[at]!.add(this.round, cost.cpuMs, this.links.count);
  }

  private async views(): Promise<void> {
    const cost = await this.costOfEach(async () => {
      const written = Date.now();
      const number = await putNextView(this.cluster.platform);
      const heard = await this.links.until(({ view }) => view >= number);
      series.viewMs.add(this.round, heard.viewAt - written, this.links.count);
    });
    series.viewBytes.add(this.round, cost.bytes, this.links.count);
    series.viewCpu.add(this.round, cost.cpuMs, this.links.count);
  }

  /** Has a second entry join and die. Comes last: jobs of a removed entry wait for links that ended since. */
  private async removal(): Promise<void> {
    const { cluster, links } = this;
    await cluster.startEntry('entry-2');
    const joined = await cluster.processes.waitFor('entry-1', /view (\d+): entry-1, entry-2/);
    await pause(JOINED_SECONDS);
    const killed = Date.now();
    cluster.processes.signal('entry-2', 'SIGKILL');
    const removed = await links.until(({ view }) => view > Number(joined));
    series.removalMs.add(this.round, removed.viewAt - killed);
  }

  /** What each of several changes costs above idling for the same time. */
  private async costOfEach(change: () => Promise<void>): Promise<{ bytes: number; cpuMs: number }> {
    const idle = await this.window();
    const pid = this.cluster.processes.pid('entry-1');
    const from = this.links.report();
    const before = sampleProcess(pid);
    for (let done = 0; done < CHANGES; done += 1) await change();
    await pause(AFTER_CHANGES_SECONDS);
    const after = sampleProcess(pid);
    const to = this.links.report();
    const seconds = (after.at - before.at) / 1000;
    const bytes = to.bytesReceived + to.bytesSent - from.bytesReceived - from.bytesSent;
    return {
      bytes: (bytes - idle.bytesPerSecond * seconds) / CHANGES,
      cpuMs: (after.cpuMs - before.cpuMs - idle.cpuMsPerSecond * seconds) / CHANGES,
    };
  }
}
