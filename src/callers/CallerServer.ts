import http from 'node:http';
import { err, ok, type Result, ResultAsync } from 'neverthrow';
import type CallerServerOptions from './CallerServerOptions';
import type CallerSubmission from './CallerSubmission';
import type RequestError from './RequestError';
import headerOf from './headerOf';
import readBody from './readBody';
import respond from './respond';
import respondError from './respondError';
import type Route from './Route';
import routes from './routes';

/**
 * The callers' HTTP interface of an entry, as `docs/API.md` describes it. Sizes
 * and times of requests are limited by the settings, so that no caller can
 * hold memory or connections for long.
 */
export default class CallerServer {
  private readonly server: http.Server;

  private constructor(private readonly options: CallerServerOptions) {
    const { limits } = options;
    this.server = http.createServer({
      maxHeaderSize: limits.headerBytes,
      headersTimeout: limits.headerTimeoutMs,
      requestTimeout: limits.bodyTimeoutMs,
      connectionsCheckingInterval: CHECK_INTERVAL_MS,
      noDelay: true,
    });
    this.server.maxConnections = limits.connections;
    this.server.on('request', (req, res) => {
      this.serve(req, res).catch((error: Error) => this.fail(res, error));
    });
  }

  /** Creates the server without listening. */
  static create(options: CallerServerOptions): CallerServer {
    return new CallerServer(options);
  }

  /** Listens at "ip:port" and returns the address in use. */
  listen(address: string): ResultAsync<string, Error> {
    const [host, port] = address.split(':');
    const listening = new Promise<string>((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(Number(port), host, () => {
        const bound = this.server.address();
        resolve(typeof bound === 'object' && bound ? `${bound.address}:${bound.port}` : address);
      });
    });
    return ResultAsync.fromPromise(listening, (error) => error as Error);
  }

  /** Stops accepting; resolves once all answers under way are out. */
  async close(): Promise<void> {
    const closed = new Promise<void>((resolve) => {
      this.server.close(() => resolve());
    });
    this.server.closeIdleConnections();
    await closed;
  }

  private async serve(req: http.IncomingMessage, res: http.ServerResponse): Promise<void> {
    const gone = new AbortController();
    res.on('close', () => gone.abort());
    const parsed = await this.parse(req);
    if (this.options.isLeaving()) res.setHeader('Connection', 'close');
    if (parsed.isErr()) {
      respondError(res, parsed.error);
      return;
    }
    const answer = await this.options.submit(parsed.value, gone.signal);
    if (!gone.signal.aborted) respond(res, parsed.value.submission, answer);
  }

  /** Answers a request on which a fault of this process showed; the others go on. */
  private fail(res: http.ServerResponse, error: Error): void {
    this.options.failed(error);
    respondError(res, { status: 500, reason: 'internal error: this may have run or not' });
  }

  private async parse(req: http.IncomingMessage): Promise<Result<CallerSubmission, RequestError>> {
    const url = new URL(req.url ?? '/', BASE_URL);
    const route = findRoute(req.method, url.pathname);
    if (route.isErr()) return err(route.error);
    const body = await readBody(req, this.options.limits.bodyBytes);
    if (body.isErr()) return err(body.error);
    const manifest = this.options.manifest();
    if (!manifest) return err(notReady(req));
    const names = namesIn(route.value, url.pathname);
    if (names.isErr()) return err(names.error);
    const caller = {
      headers: req.headers,
      names: names.value,
      query: url.searchParams,
      body: body.value,
    };
    return route.value.parse(caller, manifest, this.options.wall());
  }
}

/** How often Node looks for requests that take too long. */
const CHECK_INTERVAL_MS = 500;

/** Makes a request's path a whole URL; only the path and the query are read. */
const BASE_URL = 'http://entry';

/** What has an id may have been run for an earlier submission; only what has none is known not to have run. */
function notReady({ method, headers }: http.IncomingMessage): RequestError {
  const isNew = method === 'POST' && headerOf(headers, 'idempotency-key') === undefined;
  return { status: isNew ? 503 : 504, reason: 'no configuration is in force yet' };
}

function findRoute(method: string | undefined, path: string): Result<Route, RequestError> {
  const candidates = routes.filter((route) => route.path.test(path));
  if (candidates.length === 0) return err({ status: 404, reason: `there is no path ${path}` });
  const route = candidates.find((candidate) => candidate.method === method);
  if (route) return ok(route);
  const allowed = candidates.map((candidate) => candidate.method).join(', ');
  return err({ status: 405, reason: `${method} is not allowed on ${path}, but ${allowed} is` });
}

function namesIn(route: Route, path: string): Result<string[], RequestError> {
  const encoded = route.path.exec(path)!.slice(1);
  try {
    return ok(encoded.map(decodeURIComponent));
  } catch {
    return err({ status: 400, reason: `path: ${path} is not a well-formed URL path` });
  }
}
