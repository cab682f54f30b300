import SystemTimer from '../../src/core/SystemTimer';
import ByteMeter from './ByteMeter';
import type StandInCounters from './StandInCounters';
import type StandInReport from './StandInReport';
import StandInSidecar from './StandInSidecar';

const REPORT_MS = 100;
const MAX_CONCURRENT_OPENS = 20;

/** Command-line flags of a process that opens stand-in links. */
interface Flags {
  readonly entry: string;
  readonly name: string;
  readonly links: number;
  readonly slots: number;
  readonly taskMs: number;
}

/** Opens links to an entry and prints reports of them as JSON lines until the process is stopped. */
export default async function runStandIns(flags: Flags): Promise<void> {
  const { entry, name, links, slots, taskMs } = flags;
  const timer = SystemTimer.create();
  const counters: StandInCounters = { links: 0, messagesReceived: 0, messagesSent: 0, tasks: 0 };
  const meter = await ByteMeter.to(entry);
  const sidecars: StandInSidecar[] = [];
  const base = { timer, counters, entry: meter.address, service: 'booking', slots, taskMs };
  while (sidecars.length < links) {
    const count = Math.min(MAX_CONCURRENT_OPENS, links - sidecars.length);
    const first = sidecars.length + 1;
    const opened = Array.from({ length: count }, (_, index) =>
      StandInSidecar.open({ ...base, name: `${name}-${first + index}` }),
    );
    sidecars.push(...(await Promise.all(opened)));
  }
  timer.every(REPORT_MS, () => {
    const report = reportOf(sidecars, counters, meter);
    process.stdout.write(`report ${JSON.stringify(report)}\n`);
  });
}

function reportOf(
  sidecars: readonly StandInSidecar[],
  counters: StandInCounters,
  meter: ByteMeter,
): StandInReport {
  const view = oldest(sidecars.map((sidecar) => sidecar.view));
  const configuration = oldest(sidecars.map((sidecar) => sidecar.configuration));
  return {
    ...counters,
    bytesReceived: meter.received,
    bytesSent: meter.sent,
    view: view.number,
    viewAt: view.at,
    configuration: configuration.number,
    configurationAt: configuration.at,
  };
}

interface Receipt {
  readonly number: number;
  readonly at: number;
}

function oldest(receipts: readonly Receipt[]): Receipt {
  const number = Math.min(...receipts.map((each) => each.number));
  return { number, at: Math.max(...receipts.map((each) => each.at)) };
}
