import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { ResultAsync } from 'neverthrow';
import DEFAULT_PORT from '../core/DEFAULT_PORT';
import hostAndPort from '../core/hostAndPort';
import openServer from '../core/openServer';
import type OperatorReply from './OperatorReply';
import type OperatorRoute from './OperatorRoute';

/**
 * The HTTP listener for operators of a daemon, separate from the one for callers.
 * It keeps answering during a graceful shutdown, until it is closed.
 */
export default class OperatorServer {
  private readonly server: Server;

  private constructor(private readonly routes: readonly OperatorRoute[]) {
    this.server = createServer({ headersTimeout: REQUEST_TIMEOUT_MS }, (req, res) => {
      this.serve(req, res).catch(() => res.destroy());
    });
    this.server.requestTimeout = REQUEST_TIMEOUT_MS;
    this.server.maxConnections = MAX_CONNECTIONS;
  }

  /** Creates the server without listening. */
  static create(routes: readonly OperatorRoute[]): OperatorServer {
    return new OperatorServer(routes);
  }

  /** Listens at "ip:port" and returns the address in use. */
  listen(address: string): ResultAsync<string, Error> {
    const url = new URL(`http://${address}`);
    // A connection that could not be accepted needs no handling, since the client retries.
    const listening = openServer(this.server, hostAndPort(url, DEFAULT_PORT), () => undefined);
    return ResultAsync.fromPromise(listening, (error) => error as Error).map(
      () => `${url.hostname}:${(this.server.address() as AddressInfo).port}`,
    );
  }

  /** Stops listening and ends all connections. */
  async close(): Promise<void> {
    const closed = new Promise<void>((resolve) => {
      this.server.close(() => resolve());
    });
    this.server.closeAllConnections();
    await closed;
  }

  private async serve(req: IncomingMessage, res: ServerResponse): Promise<void> {
    req.resume();
    const { status, body } = await this.answer(req);
    const isText = typeof body === 'string';
    const text = isText ? body : JSON.stringify(body);
    res.writeHead(status, {
      'Content-Type': isText ? TEXT_TYPE : 'application/json',
      'Content-Length': Buffer.byteLength(text),
    });
    res.end(text);
  }

  private async answer(req: IncomingMessage): Promise<OperatorReply> {
    const { pathname, searchParams } = new URL(req.url ?? '/', BASE_URL);
    const matching = this.routes.filter(({ path }) => path.test(pathname));
    if (matching.length === 0) return errorReply(404, `there is no path ${pathname}`);
    const route = matching.find(({ method }) => method === req.method);
    if (!route) return errorReply(405, `${pathname} takes ${matching.map(methodOf).join(', ')}`);
    try {
      const names = route.path.exec(pathname)!.slice(1).map(decodeURIComponent);
      return await route.handle(names, searchParams);
    } catch (error) {
      return errorReply(500, String(error));
    }
  }
}

const REQUEST_TIMEOUT_MS = 5000;
const MAX_CONNECTIONS = 256;

/** The Prometheus exposition format, which scrapers expect; other clients read it as plain text. */
const TEXT_TYPE = 'text/plain; version=0.0.4; charset=utf-8';

/** Base for parsing a request's path as a URL, of which only the path and the query are used. */
const BASE_URL = 'http://operators';

function methodOf({ method }: OperatorRoute): string {
  return method;
}

function errorReply(status: number, reason: string): OperatorReply {
  return { status, body: { reason } };
}
