import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { text } from 'node:stream/consumers';
import type SimulatedStoreEngine from './SimulatedStoreEngine';
import type PlatformCall from './PlatformCall';
import type Route from './Route';
import routes from './routes';

/** Serves the simulated store over HTTP with JSON bodies. */
export default class PlatformServer {
  private constructor(
    private readonly engine: SimulatedStoreEngine,
    private readonly server: Server,
    private readonly served: readonly Route[],
  ) {}

  /** Creates a server that does not listen yet; other routes may serve the same store through other calls. */
  static of(engine: SimulatedStoreEngine, served = routes): PlatformServer {
    const platform = new PlatformServer(engine, createServer(), served);
    platform.server.on('request', (req, res) => {
      platform.serve(req, res).catch((cause: unknown) => send(res, 400, { reason: String(cause) }));
    });
    return platform;
  }

  /** Listens and returns the bound address, "ip:port". */
  async listen(host: string, port: number): Promise<string> {
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, host, resolve);
    });
    const { port: bound } = this.server.address() as AddressInfo;
    return `${host}:${bound}`;
  }

  /** Closes all connections and stops listening. */
  async close(): Promise<void> {
    const closed = new Promise<void>((resolve) => {
      this.server.close(() => resolve());
    });
    this.server.closeAllConnections();
    await closed;
  }

  private async serve(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const url = new URL(req.url ?? '/', 'http://platform');
    const disconnected = new AbortController();
    res.once('close', () => disconnected.abort());
    const body = await text(req);
    const { engine } = this;
    const client = String(req.headers['x-client'] ?? 'unnamed');
    const call: PlatformCall = {
      engine,
      store: () => engine.client(client),
      query: url.searchParams,
      body: body === '' ? {} : (JSON.parse(body) as PlatformCall['body']),
      signal: disconnected.signal,
    };
    const route = this.served.find(
      ({ method, path }) => method === req.method && path.test(url.pathname),
    );
    if (!route) return send(res, 405, { reason: 'no such call' });
    const pathParameter = decodeURIComponent(route.path.exec(url.pathname)?.[1] ?? '');
    const { status, body: answer } = await route.handle(call, pathParameter);
    return send(res, status, answer);
  }
}

function send(res: ServerResponse, status: number, body: unknown): void {
  if (res.destroyed) return;
  res.writeHead(status, { 'content-type': 'application/json' });
  res.end(JSON.stringify(body));
}
