import http from 'node:http';
import https from 'node:https';
import net from 'node:net';
import type { Duplex } from 'node:stream';
import { create } from '@bufbuild/protobuf';
import { err, ok, type Result, ResultAsync } from 'neverthrow';
import openServer from '../core/openServer';
import { type Answer, AnswerSchema, Outcome } from '../gen/magnoliakeel/v1/peer_pb';
import ByteBudget from './ByteBudget';
import type CallerServerOptions from './CallerServerOptions';
import type CallerSubmission from './CallerSubmission';
import type TlsCredentials from '../link/TlsCredentials';
import checkBodyHeaders from './checkBodyHeaders';
import headerOf from './headerOf';
import parseVersion from './parseVersion';
import readBody from './readBody';
import refusal from './refusal';
import refuseConnection from './refuseConnection';
import type RequestError from './RequestError';
import respond from './respond';
import respondError from './respondError';
import type Route from './Route';
import routes from './routes';

/**
 * The HTTP server of an entry for callers, as described in `docs/API.md`. The
 * settings limit the size and duration of requests, so that no caller can
 * occupy memory or connections for long.
 */
export default class CallerServer {
  private readonly server: http.Server | https.Server;

  /** The latest response on each open connection; undefined before its first request. */
  private readonly responses = new Map<Duplex, http.ServerResponse | undefined>();

  /** Connections on which a request arrived before the previous one was answered. */
  private readonly pipelined = new WeakSet<Duplex>();

  /** Memory budget for the bodies of all requests in progress. */
  private readonly bodyBudget: ByteBudget;

  /** For each submission in progress, a callback that ends its wait early. */
  private readonly pendingWaits = new Set<() => void>();

  private closing = false;

  private constructor(private readonly options: CallerServerOptions) {
    const { limits, tls } = options;
    this.bodyBudget = ByteBudget.create(limits.openBodyBytes);
    this.server = createServer(tls, {
      maxHeaderSize: limits.headerBytes,
      headersTimeout: limits.headerTimeoutMs,
      requestTimeout: limits.bodyTimeoutMs,
      keepAliveTimeout: KEEP_ALIVE_MS,
      connectionsCheckingInterval: TIMEOUT_CHECK_INTERVAL_MS,
      noDelay: true,
    });
    this.server.maxConnections = limits.connections;
    this.server.on(tls ? 'secureConnection' : 'connection', (socket: Duplex) =>
      this.handleConnection(socket),
    );
    this.server.on('request', (req: http.IncomingMessage, res: http.ServerResponse) =>
      this.handleRequest(req, res),
    );
    this.server.on('checkContinue', (req: http.IncomingMessage, res: http.ServerResponse) =>
      this.handleRequest(req, res),
    );
    this.server.on('clientError', (error: Error, socket: Duplex) =>
      this.handleClientError(error, socket),
    );
  }

  /** Creates the server; `listen` opens it. */
  static create(options: CallerServerOptions): CallerServer {
    return new CallerServer(options);
  }

  /** Listens on "ip:port" and returns the bound address. */
  listen(address: string): ResultAsync<string, Error> {
    const [host, port] = address.split(':');
    const listening = openServer(this.server, { host, port: Number(port) }, this.options.onError);
    return ResultAsync.fromPromise(listening, (error) => error as Error).map(() => {
      const bound = this.server.address();
      return typeof bound === 'object' && bound ? `${bound.address}:${bound.port}` : address;
    });
  }

  /**
   * Stops accepting connections; resolves once all pending responses have been
   * sent. Callers that still wait after `drainMs` get a response that says so.
   * Idle connections are not closed at once, since a request may be in transit:
   * they close with their next response or after the keep-alive time that callers know.
   */
  async close(drainMs: number): Promise<void> {
    const { timer, limits } = this.options;
    this.closing = true;
    const closed = new Promise<void>((resolve) => {
      // http.Server.close would also close idle connections at once.
      net.Server.prototype.close.call(this.server, () => resolve());
    });
    const idleTimer = timer.after(Math.min(limits.headerTimeoutMs, drainMs), () =>
      this.closeIdleConnections(),
    );
    const drainTimer = timer.after(drainMs, () => this.endWaits());
    await closed;
    idleTimer.cancel();
    drainTimer.cancel();
  }

  private handleConnection(socket: Duplex): void {
    this.responses.set(socket, undefined);
    socket.on('close', () => this.responses.delete(socket));
  }

  private handleRequest(req: http.IncomingMessage, res: http.ServerResponse): void {
    const previous = this.responses.get(req.socket);
    if (previous && !previous.writableFinished) this.pipelined.add(req.socket);
    this.responses.set(req.socket, res);
    this.parseAndRespond(req, res).catch((error) => this.respondInternalError(res, error));
  }

  /** Responds to a request that failed with an internal error; other requests continue. */
  private respondInternalError(res: http.ServerResponse, error: unknown): void {
    this.options.onError(error);
    if (res.headersSent) res.destroy();
    else this.refuse(res, refusal(Outcome.UNKNOWN, INTERNAL_ERROR_ANSWER.reason));
  }

  private async parseAndRespond(
    req: http.IncomingMessage,
    res: http.ServerResponse,
  ): Promise<void> {
    const callerGone = new AbortController();
    res.on('close', () => callerGone.abort());
    const parsed = await this.parse(req, res, callerGone.signal);
    const answer = parsed.isOk() ? await this.submit(parsed.value, callerGone.signal) : undefined;
    if (callerGone.signal.aborted || !req.socket.writable) return;
    res.setHeader('Magnoliakeel-Configuration', String(this.options.configurationVersion()));
    if (this.closing || this.options.isLeaving()) res.setHeader('Connection', 'close');
    req.socket.setTimeout(this.options.limits.bodyTimeoutMs);
    if (parsed.isErr()) this.refuse(res, parsed.error);
    else respond(res, parsed.value.submission, this.withRetryJitter(answer!));
  }

  /** The entry's answer; the wait ends early if the caller disconnects or the server's drain time is over. */
  private submit(submission: CallerSubmission, callerGone: AbortSignal): Promise<Answer> {
    return new Promise((resolve) => {
      const end = () => resolve(SHUTDOWN_ANSWER);
      this.pendingWaits.add(end);
      callerGone.addEventListener('abort', end, { once: true });
      this.options
        .submit(submission, callerGone)
        .catch((error) => {
          this.options.onError(error);
          return INTERNAL_ERROR_ANSWER;
        })
        .then(resolve)
        .finally(() => this.pendingWaits.delete(end));
    });
  }

  private async parse(
    req: http.IncomingMessage,
    res: http.ServerResponse,
    callerGone: AbortSignal,
  ): Promise<Result<CallerSubmission, RequestError>> {
    const url = parseUrl(req.url);
    if (url.isErr()) return err(url.error);
    const route = findRoute(req.method, url.value.pathname);
    if (route.isErr()) return err(route.error);
    const bodyError = checkBodyHeaders(req, this.options.limits.bodyBytes);
    if (bodyError) return err(bodyError);
    if (expectsContinue(req)) res.writeContinue();
    const body = await this.readBody(req, callerGone);
    if (body.isErr()) return err(body.error);
    const version = parseVersion(req.headers);
    if (version.isErr()) return err(version.error);
    if (!(await this.options.waitForVersion(version.value)))
      return err(notReadyRefusal(req, OLDER_CONFIGURATION_REASON));
    const manifest = this.options.manifest();
    if (!manifest) return err(notReadyRefusal(req, 'no configuration is in force yet'));
    const pathParameters = pathParametersOf(route.value, url.value.pathname);
    if (pathParameters.isErr()) return err(pathParameters.error);
    const callerRequest = {
      headers: req.headers,
      pathParameters: pathParameters.value,
      query: url.value.searchParams,
      body: body.value,
    };
    return route.value.parse(callerRequest, manifest, this.options.timer.wall());
  }

  /** Reads the body; its bytes of the budget are released when the response closes. */
  private async readBody(
    req: http.IncomingMessage,
    callerGone: AbortSignal,
  ): Promise<Result<Buffer, RequestError>> {
    const budgetExceeded = notReadyRefusal(req, 'the memory for requests is full');
    const { bodyBytes } = this.options.limits;
    const body = await readBody(req, bodyBytes, this.bodyBudget, budgetExceeded);
    if (body.isErr()) return body;
    const release = () => this.bodyBudget.release(body.value.length);
    if (callerGone.aborted) release();
    else callerGone.addEventListener('abort', release, { once: true });
    return body;
  }

  private refuse(res: http.ServerResponse, error: RequestError): void {
    // A client that got no 100 Continue may omit its body; its next request could then not be told from the body.
    if (expectsContinue(res.req) && !res.req.complete) res.setHeader('Connection', 'close');
    const { random } = this.options;
    const isTemporary = error.outcome !== undefined;
    const retryAfterMs = isTemporary ? Math.ceil(random.jitter(MEAN_RETRY_AFTER_MS)) : 0;
    respondError(res, error, retryAfterMs);
  }

  /** The answer with jitter on its retry delay, so that callers do not retry all at once. */
  private withRetryJitter(answer: Answer): Answer {
    const retryAfterMs = Math.ceil(this.options.random.jitter(answer.retryAfterMs));
    return { ...answer, retryAfterMs };
  }

  /** Refuses input that Node can't parse, unless the refusal could be taken for another response. */
  private handleClientError(error: NodeJS.ErrnoException, socket: Duplex): void {
    const res = this.responses.get(socket);
    const isBetweenRequests = !res || (res.writableFinished && res.req.complete);
    const isReadingRequest = !res?.headersSent && !res?.req.complete && !this.pipelined.has(socket);
    if (isBetweenRequests || isReadingRequest)
      refuseConnection(socket, error.code ?? '', this.options.timer);
    else socket.destroy();
  }

  /** Closes connections without a request in progress once the time to send one is over. */
  private closeIdleConnections(): void {
    this.responses.forEach((res, socket) => {
      if (!res || res.writableFinished) socket.destroy();
    });
  }

  private endWaits(): void {
    [...this.pendingWaits].forEach((end) => end());
    this.responses.forEach((res, socket) => {
      if (!res?.req.complete) socket.destroy();
    });
  }
}

/** Creates the server with the limits; with TLS credentials it follows their changes. */
function createServer(tls: TlsCredentials | undefined, limits: http.ServerOptions) {
  if (!tls) return http.createServer(limits);
  const { cert, key } = tls.current;
  const server = https.createServer({ ...limits, cert, key });
  tls.subscribe((renewed) => server.setSecureContext({ cert: renewed.cert, key: renewed.key }));
  return server;
}

/** How often Node checks for timed-out requests, ms. */
const TIMEOUT_CHECK_INTERVAL_MS = 500;

/** Longer than load balancers keep an idle connection, ms, so that the balancer is the one to close it. */
const KEEP_ALIVE_MS = 75_000;

/** Mean retry delay, ms, of a caller that is refused for a temporary reason, such as a missing configuration. */
const MEAN_RETRY_AFTER_MS = 2000;

/** Base for parsing a request target as a URL; only the path and the query are used. */
const BASE_URL = 'http://entry';

const OLDER_CONFIGURATION_REASON =
  'the configuration that the caller has met before is not in force here yet';

const SHUTDOWN_ANSWER = create(AnswerSchema, {
  outcome: Outcome.UNKNOWN,
  reason: 'this entry leaves before the answer is there; it may have run',
  retryAfterMs: MEAN_RETRY_AFTER_MS,
});

const INTERNAL_ERROR_ANSWER = create(AnswerSchema, {
  outcome: Outcome.UNKNOWN,
  reason: 'an internal error of the entry; it may have run',
  retryAfterMs: MEAN_RETRY_AFTER_MS,
});

function expectsContinue({ headers }: http.IncomingMessage): boolean {
  return headers.expect?.toLowerCase() === '100-continue';
}

function parseUrl(target = '/'): Result<URL, RequestError> {
  try {
    return ok(new URL(target.replace(/^\/+/, '/'), BASE_URL));
  } catch {
    return err({ status: 400, reason: 'path: not a well-formed URL path' });
  }
}

/**
 * A refusal while the entry is not ready. A request with an id may have run for an earlier submission; only one
 * without an id is known not to have run.
 */
function notReadyRefusal({ method, headers }: http.IncomingMessage, reason: string): RequestError {
  const isNew = method === 'POST' && headerOf(headers, 'idempotency-key') === undefined;
  const outcome = isNew ? Outcome.NOT_RUN : Outcome.UNKNOWN;
  return refusal(outcome, reason);
}

function findRoute(method: string | undefined, path: string): Result<Route, RequestError> {
  const candidates = routes.filter((route) => route.path.test(path));
  if (candidates.length === 0) return err({ status: 404, reason: `there is no path ${path}` });
  const route = candidates.find((candidate) => candidate.method === method);
  if (route) return ok(route);
  const allow = candidates.map((candidate) => candidate.method).join(', ');
  return err({
    status: 405,
    reason: `${method} is not allowed on ${path}, but ${allow} is`,
    allow,
  });
}

function pathParametersOf(route: Route, path: string): Result<string[], RequestError> {
  const encoded = route.path.exec(path)!.slice(1);
  try {
    return ok(encoded.map(decodeURIComponent));
  } catch {
    return err({ status: 400, reason: 'path: not a well-formed URL path' });
  }
}
