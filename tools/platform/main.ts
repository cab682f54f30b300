import { cac } from 'cac';
import SystemTimer from '../../src/core/SystemTimer';
import SimulatedStoreEngine from './SimulatedStoreEngine';
import PlatformServer from './PlatformServer';

const cli = cac('platform');

cli
  .command('', "Run a simulation of the platform's key-value service")
  .option('--listen <address>', 'Address to listen on, "ip:port"', { default: '127.0.0.1:0' })
  .action(async ({ listen }: { listen: string }) => {
    const { hostname, port } = new URL(`http://${listen}`);
    const server = PlatformServer.of(SimulatedStoreEngine.create(SystemTimer.create()));
    const address = await server.listen(hostname, Number(port));
    process.stdout.write(`platform listening on ${address}\n`);
  });

cli.help();
cli.parse();
