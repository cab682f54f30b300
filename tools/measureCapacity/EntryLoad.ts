import Cluster from '../harness/Cluster';
import JobLoad from './JobLoad';
import createManifest from './createManifest';
import sampleProcess from './sampleProcess';
import StandInLinks from './StandInLinks';

const LINK_PROCESSES = 2;
const LINKS_PER_PROCESS = 50;
const SLOTS = 8;
const TASK_MS = 50;

/** Resources used during an action, summed over all entries. */
interface Cost {
  readonly seconds: number;
  readonly cpuMs: number;
  readonly tasks: number;
  readonly bytes: number;
  readonly messages: number;
}

/** Entries under load, each with its own stand-in sidecars, whose tasks take 50 ms. */
export default class EntryLoad {
  private constructor(
    private readonly cluster: Cluster,
    private readonly links: readonly StandInLinks[],
  ) {}

  /** Starts the given number of entries and opens their links. */
  static async start(entries: number): Promise<EntryLoad> {
    const size = { entries, backends: 0, slots: SLOTS, connections: 64, zones: 3 };
    const cluster = await Cluster.start(size, createManifest(10));
    const { processes, entryNames } = cluster;
    const links = await Promise.all(
      entryNames.map(async (entry) => {
        await processes.waitFor(entry, new RegExp(`view ${entries}`));
        const peers = await processes.waitFor(entry, /for peers on ([\d.:]+)/);
        return openLinks(StandInLinks.to(processes, peers, SLOTS, TASK_MS));
      }),
    );
    return new EntryLoad(cluster, links);
  }

  /** Creates a load on the first entry whose jobs have `jobSize` tasks. */
  createLoad(jobSize: number): JobLoad {
    return JobLoad.to(this.cluster.callersUrl('entry-1'), jobSize, 0);
  }

  /** Resident memory of the first entry, in megabytes of 1024 * 1024 bytes. */
  get memoryMb(): number {
    return this.sample()[0]!.rssMb;
  }

  /** Runs an action and returns the resources used during it. */
  async measureCost(action: () => Promise<unknown>): Promise<Cost> {
    const before = this.sample();
    const startTotals = this.totals();
    await action();
    const after = this.sample();
    const endTotals = this.totals();
    const cpuMs = after.map((sample, index) => sample.cpuMs - before[index]!.cpuMs);
    return {
      seconds: (after[0]!.at - before[0]!.at) / 1000,
      cpuMs: cpuMs.reduce((sum, each) => sum + each, 0),
      tasks: endTotals.tasks - startTotals.tasks,
      bytes: endTotals.bytes - startTotals.bytes,
      messages: endTotals.messages - startTotals.messages,
    };
  }

  /** Stops all processes. */
  async stop(): Promise<void> {
    await this.cluster.stop();
  }

  private sample() {
    const { processes, entryNames } = this.cluster;
    return entryNames.map((entry) => sampleProcess(processes.pid(entry)));
  }

  private totals() {
    const reports = this.links.map((each) => each.report());
    const sum = (values: readonly number[]): number => values.reduce((all, each) => all + each, 0);
    return {
      tasks: sum(reports.map((each) => each.tasks)),
      bytes: sum(reports.map((each) => each.bytesReceived + each.bytesSent)),
      messages: sum(reports.map((each) => each.messagesReceived + each.messagesSent)),
    };
  }
}

async function openLinks(links: StandInLinks): Promise<StandInLinks> {
  for (let count = 0; count < LINK_PROCESSES; count += 1) await links.add(LINKS_PER_PROCESS);
  return links;
}
