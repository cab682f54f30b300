import Cluster from '../harness/Cluster';
import JobLoad from './JobLoad';
import createManifest from './createManifest';
import pause from './pause';
import putManifest from './putManifest';
import putNextView from './putNextView';
import sampleProcess from './sampleProcess';
import Series from './Series';
import StandInLinks from './StandInLinks';

/** Links per stand-in process; opened in this order and closed in reverse. */
const STEPS = [50, 50, 100, 200];
const CHANGES_AT_LINK_COUNTS = [100, 400];
const SLOTS = 8;
const SETTLE_SECONDS = 2;
/** Longer than an entry waits for a sidecar to reconnect after its link has closed. */
const LINK_REMOVAL_SECONDS = 4;
const JOIN_SECONDS = 2;
const WINDOW_SECONDS = 3;
const CHANGES = 20;
const TEAM_COUNTS = [10, 56] as const;
const AFTER_CHANGES_SECONDS = 0.5;

const PER_LINK = 'sidecar link';

/** Cost of sidecar links to an entry: when idle, per new configuration and per new view. */
const series = {
  memory: Series.over(PER_LINK, 'entry, idle: resident memory', 'MB'),
  cpu: Series.over(PER_LINK, 'entry, idle: processor time', 'ms/s'),
  bytes: Series.over(PER_LINK, 'entry, idle: bytes both ways', 'bytes/s'),
  messages: Series.over(PER_LINK, 'entry, idle: messages both ways', '1/s'),
  busyBytes: Series.over(PER_LINK, 'entry, idle, 56 teams known: bytes both ways', 'bytes/s'),
  changeBytes: TEAM_COUNTS.map((teams) =>
    Series.over(PER_LINK, `configuration of ${teams} teams: bytes both ways`, 'bytes'),
  ),
  changeCpu: TEAM_COUNTS.map((teams) =>
    Series.over(PER_LINK, `configuration of ${teams} teams: processor time of the entry`, 'ms'),
  ),
  changeMs: TEAM_COUNTS.map((teams) =>
    Series.over(
      PER_LINK,
      `configuration of ${teams} teams: written to in force at all links`,
      'ms',
    ),
  ),
  viewBytes: Series.over(PER_LINK, 'view: bytes both ways, with the confirmation', 'bytes'),
  viewCpu: Series.over(PER_LINK, 'view: processor time of the entry, with the confirmation', 'ms'),
  viewMs: Series.over(PER_LINK, 'view: written to confirmed by all links', 'ms'),
  removalMs: Series.of('entry killed to its removal known at all links', 'ms'),
};

/** Runs one round of all numbers of links. */
export default async function measureSidecarLinks(round: number): Promise<void> {
  const size = { entries: 1, backends: 0, slots: SLOTS, connections: 64, zones: 3 };
  const cluster = await Cluster.start(size, createManifest(TEAM_COUNTS[0]));
  try {
    await new Round(cluster, round).run();
  } finally {
    await cluster.stop();
  }
}

/** The series that the rounds fill. */
measureSidecarLinks.series = (): Series[] => Object.values(series).flat();

/** One round: adds links in steps to measure memory and changes, then removes them to measure the CPU time of a warm process. */
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
    await this.recordMemory();
    for (const step of STEPS) {
      await this.links.add(step);
      await this.recordMemory();
      if (CHANGES_AT_LINK_COUNTS.includes(this.links.count)) await this.measureChanges();
    }
    for (let left = STEPS.length; left > 1; left -= 1) {
      await this.recordIdle();
      await this.removeLast();
    }
    await this.links.add(STEPS.at(-1)!);
    await this.measureBusy();
    await this.measureRemoval();
  }

  private async recordMemory(): Promise<void> {
    await pause(SETTLE_SECONDS);
    const { rssMb } = sampleProcess(this.cluster.processes.pid('entry-1'));
    series.memory.add(this.round, rssMb, this.links.count);
  }

  private async recordIdle(): Promise<void> {
    await pause(SETTLE_SECONDS);
    const { count } = this.links;
    const used = await this.measureWindow();
    series.cpu.add(this.round, used.cpuMsPerSecond, count);
    series.bytes.add(this.round, used.bytesPerSecond, count);
    series.messages.add(this.round, used.messagesPerSecond, count);
  }

  private async recordBusyBytes(): Promise<void> {
    await pause(SETTLE_SECONDS);
    const { bytesPerSecond } = await this.measureWindow();
    series.busyBytes.add(this.round, bytesPerSecond, this.links.count);
  }

  /** Runs a task for every team, so that the entry has a load to report for each, and measures idle links again. */
  private async measureBusy(): Promise<void> {
    const load = JobLoad.to(this.cluster.callersUrl('entry-1'), 1, 0);
    const teams = Array.from({ length: TEAM_COUNTS[1] }, (_, at) => `team-${at + 1}`);
    await Promise.all(teams.map((team) => load.submit(team)));
    await load.close();
    if (load.failed > 0) throw new Error(`${load.failed} jobs failed`);
    await this.recordBusyBytes();
    await this.removeLast();
    await this.recordBusyBytes();
  }

  private async removeLast(): Promise<void> {
    await this.links.removeLast();
    await pause(LINK_REMOVAL_SECONDS);
  }

  private async measureWindow() {
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

  private async measureChanges(): Promise<void> {
    for (const [at, teams] of TEAM_COUNTS.entries()) await this.measureConfigurations(at, teams);
    await this.measureViews();
  }

  private async measureConfigurations(at: number, teams: number): Promise<void> {
    const { platform } = this.cluster;
    const cost = await this.costOfEach(async () => {
      this.version += 1;
      const { version } = this;
      const writtenAt = Date.now();
      await putManifest(platform, version, createManifest(teams));
      const report = await this.links.waitUntil(({ configuration }) => configuration >= version);
      series.changeMs[at]!.add(this.round, report.configurationAt - writtenAt, this.links.count);
    });
    series.changeBytes[at]!.add(this.round, cost.bytes, this.links.count);
    series.changeCpu[at]!.add(this.round, cost.cpuMs, this.links.count);
  }

  private async measureViews(): Promise<void> {
    const cost = await this.costOfEach(async () => {
      const writtenAt = Date.now();
      const number = await putNextView(this.cluster.platform);
      const report = await this.links.waitUntil(({ view }) => view >= number);
      series.viewMs.add(this.round, report.viewAt - writtenAt, this.links.count);
    });
    series.viewBytes.add(this.round, cost.bytes, this.links.count);
    series.viewCpu.add(this.round, cost.cpuMs, this.links.count);
  }

  /** Lets a second entry join and kills it. Runs last: jobs of a removed entry wait for links that have closed since. */
  private async measureRemoval(): Promise<void> {
    const { cluster, links } = this;
    await cluster.startEntry('entry-2');
    const joined = await cluster.processes.waitFor('entry-1', /view (\d+): entry-1, entry-2/);
    await pause(JOIN_SECONDS);
    const killedAt = Date.now();
    cluster.processes.signal('entry-2', 'SIGKILL');
    const removed = await links.waitUntil(({ view }) => view > Number(joined));
    series.removalMs.add(this.round, removed.viewAt - killedAt);
  }

  /** Average cost of a change, without the cost of idling for the same time. */
  private async costOfEach(change: () => Promise<void>): Promise<{ bytes: number; cpuMs: number }> {
    const idle = await this.measureWindow();
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
