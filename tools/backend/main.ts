import { cac } from 'cac';
import SystemTimer from '../../src/core/SystemTimer';
import Announcer from './Announcer';
import BackendStandIn from './BackendStandIn';
import StartRecorder from './StartRecorder';

interface Flags {
  readonly sidecar?: string;
  readonly service: string;
  readonly slots: number;
  readonly connections: number;
  readonly listen: string;
  readonly drain: number;
  readonly recorder?: string;
  readonly name: string;
}

const DEFAULT_SLOTS = 8;
const DEFAULT_CONNECTIONS = 64;
const DEFAULT_DRAIN_MS = 30_000;

const cli = cac('backend');
cli
  .command('', 'Run a backend server stand-in')
  .option('--sidecar <address>', 'Announcement address of the sidecar, "ip:port"')
  .option('--service <name>', 'Service that the tasks belong to', { default: 'booking' })
  .option('--slots <number>', 'Number of tasks run at the same time', { default: DEFAULT_SLOTS })
  .option('--connections <number>', 'Connections accepted', { default: DEFAULT_CONNECTIONS })
  .option('--listen <address>', 'Address that accepts tasks, "ip:port"', { default: '127.0.0.1:0' })
  .option('--drain <ms>', 'Wait for running tasks when leaving', { default: DEFAULT_DRAIN_MS })
  .option(
    '--recorder <address>',
    'Address to which each start is reported before it runs, "ip:port"',
  )
  .option('--name <name>', 'Name of this backend server in those reports', { default: 'backend' })
  .action(run);
cli.help();
cli.parse();

async function run(flags: Flags): Promise<void> {
  const timer = SystemTimer.create();
  const recorder =
    flags.recorder === undefined ? undefined : StartRecorder.to(flags.recorder, flags.name);
  const server = BackendStandIn.create(timer, flags.slots, recorder);
  const [host = '', port] = flags.listen.split(':');
  const address = await server.listen(host, Number(port));
  process.stdout.write(`backend listening on ${address}\n`);
  const { service, slots, connections } = flags;
  const announcer =
    flags.sidecar === undefined
      ? undefined
      : Announcer.create(timer, flags.sidecar, { service, address, slots, connections });
  announcer?.start();
  await whenTerminated();
  await announcer?.leave();
  await Promise.race([server.drain(), timer.sleep(flags.drain)]);
  await server.close();
  process.exit(0);
}

function whenTerminated(): Promise<void> {
  return new Promise((resolve) => {
    process.once('SIGTERM', () => resolve());
    process.once('SIGINT', () => resolve());
  });
}
