import { createServer, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { json } from 'node:stream/consumers';
import type ReportedStart from './ReportedStart';

interface Report {
  readonly backend: string;
  readonly task: string;
  readonly output: { readonly id: string; readonly n: number };
}

/** Collects the backend servers' reports of starts, so that the reports outlive their senders. */
export default class Recorder {
  private readonly server: Server;

  private constructor(private readonly starts: ReportedStart[]) {
    this.server = createServer(async (req, res) => {
      const { backend, task, output } = (await json(req)) as Report;
      this.starts.push({ backend, task, id: output.id, index: output.n, at: performance.now() });
      res.end();
    });
    this.server.keepAliveTimeout = 0;
  }

  /** Creates a recorder that appends to the list. */
  static into(starts: ReportedStart[]): Recorder {
    return new Recorder(starts);
  }

  /** Listens on a free loopback port and returns the address, "ip:port". */
  async listen(): Promise<string> {
    await new Promise<void>((resolve) => {
      this.server.listen(0, '127.0.0.1', resolve);
    });
    return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
  }

  /** Stops listening and closes all connections. */
  close(): void {
    this.server.close();
    this.server.closeAllConnections();
  }
}
