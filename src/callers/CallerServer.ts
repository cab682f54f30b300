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
import findBodyMistake from './findBodyMistake';
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
 * The callers' HTTP interface of an entry, as `docs/API.md` describes it. Sizes
 * and times of requests are limited by the settings, so that no caller can
 * hold memory or connections for long.
 */
export default class CallerServer {
  private readonly server: http.Server | https.Server;

  /** The last response of each open connection; none before its first request. */
  private readonly responses = new Map<Duplex, http.ServerResponse | undefined>();

  /** Connections that carried a request before the one ahead of it was answered. */
  private readonly pipelined = new WeakSet<Duplex>();

  /** Memory for the bodies of all requests under way. */
  private readonly bodies: ByteBudget;

  /** Ends the wait of each caller whose submission is under way. */
  private readonly waits = new Set<() => void>();

  private closing = false;

  private constructor(private readonly options: CallerServerOptions) {
    const { limits, tls } = options;
    this.bodies = ByteBudget.of(limits.openBodyBytes);
    this.server = createServer(tls, {
      maxHeaderSize: limits.headerBytes,
      headersTimeout: limits.headerTimeoutMs,
      requestTimeout: limits.bodyTimeoutMs,
      keepAliveTimeout: KEEP_ALIVE_MS,
      connectionsCheckingInterval: CHECK_INTERVAL_MS,
      noDelay: true,
    });
    this.server.maxConnections = limits.connections;
    this.server.on(tls ? 'secureConnection' : 'connection', (socket: Duplex) =>
      this.connected(socket),
    );
    this.server.on('request', (req: http.IncomingMessage, res: http.ServerResponse) =>
      this.serve(req, res),
    );
    this.server.on('checkContinue', (req: http.IncomingMessage, res: http.ServerResponse) =>
      this.serve(req, res),
    );
    this.server.on('clientError', (error: Error, socket: Duplex) => this.unreadable(error, socket));
  }

  /** Creates the server without listening. */
  static create(options: CallerServerOptions): CallerServer {
    return new CallerServer(options);
  }

  /** Listens at "ip:port" and returns the address in use. */
  listen(address: string): ResultAsync<string, Error> {
    const [host, port] = address.split(':');
    const listening = openServer(this.server, { host, port: Number(port) }, this.options.failed);
    return ResultAsync.fromPromise(listening, (error) => error as Error).map(() => {
      const bound = this.server.address();
      return typeof bound === 'object' && bound ? `${bound.address}:${bound.port}` : address;
    });
  }

  /**
   * Stops accepting; resolves once all answers under way are out. A caller
   * that still waits when the time is over is told so, which is an answer too.
   * An idle connection is not cut, since a request may be on its way on it: it
   * ends with its next answer or after the keep-alive time that callers know.
   */
  async close(drainMs: number): Promise<void> {
    const { timer, limits } = this.options;
    this.closing = true;
    const closed = new Promise<void>((resolve) => {
      // The method of http.Server would cut the idle connections.
      net.Server.prototype.close.call(this.server, () => resolve());
    });
    const silent = timer.after(Math.min(limits.headerTimeoutMs, drainMs), () => this.dropSilent());
    const over = timer.after(drainMs, () => this.endWaits());
    await closed;
    silent.cancel();
    over.cancel();
  }

  private connected(socket: Duplex): void {
    this.responses.set(socket, undefined);
    socket.on('close', () => this.responses.delete(socket));
  }

  private serve(req: http.IncomingMessage, res: http.ServerResponse): void {
    const ahead = this.responses.get(req.socket);
    if (ahead && !ahead.writableFinished) this.pipelined.add(req.socket);
    this.responses.set(req.socket, res);
    this.answer(req, res).catch((error) => this.fail(res, error));
  }

  /** Answers a request on which a fault of this process showed; the others go on. */
  private fail(res: http.ServerResponse, error: unknown): void {
    this.options.failed(error);
    if (res.headersSent) res.destroy();
    else this.refuse(res, refusal(Outcome.UNKNOWN, FAULT.reason));
  }

  private async answer(req: http.IncomingMessage, res: http.ServerResponse): Promise<void> {
    const gone = new AbortController();
    res.on('close', () => gone.abort());
    const parsed = await this.parse(req, res, gone.signal);
    const answer = parsed.isOk() ? await this.submit(parsed.value, gone.signal) : undefined;
    if (gone.signal.aborted || !req.socket.writable) return;
    res.setHeader('Magnoliakeel-Configuration', String(this.options.version()));
    if (this.closing || this.options.isLeaving()) res.setHeader('Connection', 'close');
    req.socket.setTimeout(this.options.limits.bodyTimeoutMs);
    if (parsed.isErr()) this.refuse(res, parsed.error);
    else respond(res, parsed.value.submission, this.spread(answer!));
  }

  /** The answer of the entry; the wait ends early when the caller goes or the server closes. */
  private submit(submission: CallerSubmission, gone: AbortSignal): Promise<Answer> {
    return new Promise((resolve) => {
      const end = () => resolve(CUT_SHORT);
      this.waits.add(end);
      gone.addEventListener('abort', end, { once: true });
      this.options
        .submit(submission, gone)
        .catch((error) => {
          this.options.failed(error);
          return FAULT;
        })
        .then(resolve)
        .finally(() => this.waits.delete(end));
    });
  }

  private async parse(
    req: http.IncomingMessage,
    res: http.ServerResponse,
    gone: AbortSignal,
  ): Promise<Result<CallerSubmission, RequestError>> {
    const url = parseUrl(req.url);
    if (url.isErr()) return err(url.error);
    const route = findRoute(req.method, url.value.pathname);
    if (route.isErr()) return err(route.error);
    const mistake = findBodyMistake(req, this.options.limits.bodyBytes);
    if (mistake) return err(mistake);
    if (expectsContinue(req)) res.writeContinue();
    const body = await this.readBody(req, gone);
    if (body.isErr()) return err(body.error);
    const version = parseVersion(req.headers);
    if (version.isErr()) return err(version.error);
    if (!(await this.options.reached(version.value))) return err(unprepared(req, BEHIND));
    const manifest = this.options.manifest();
    if (!manifest) return err(unprepared(req, 'no configuration is in force yet'));
    const names = namesIn(route.value, url.value.pathname);
    if (names.isErr()) return err(names.error);
    const caller = {
      headers: req.headers,
      names: names.value,
      query: url.value.searchParams,
      body: body.value,
    };
    return route.value.parse(caller, manifest, this.options.timer.wall());
  }

  /** Reads the body; its memory is free again when the request is over. */
  private async readBody(
    req: http.IncomingMessage,
    gone: AbortSignal,
  ): Promise<Result<Buffer, RequestError>> {
    const whenFull = unprepared(req, 'the memory for requests is full');
    const { bodyBytes } = this.options.limits;
    const body = await readBody(req, bodyBytes, this.bodies, whenFull);
    if (body.isErr()) return body;
    const free = () => this.bodies.give(body.value.length);
    if (gone.aborted) free();
    else gone.addEventListener('abort', free, { once: true });
    return body;
  }

  private refuse(res: http.ServerResponse, error: RequestError): void {
    // A body that was never asked for does not come; the next request can't be told from it.
    if (expectsContinue(res.req) && !res.req.complete) res.setHeader('Connection', 'close');
    const { random } = this.options;
    const isPassing = error.outcome !== undefined;
    const retryAfterMs = isPassing ? Math.ceil(random.jitter(RETRY_AFTER_MS)) : 0;
    respondError(res, error, retryAfterMs);
  }

  /** The answer with a time to come back that differs from caller to caller. */
  private spread(answer: Answer): Answer {
    const retryAfterMs = Math.ceil(this.options.random.jitter(answer.retryAfterMs));
    return { ...answer, retryAfterMs };
  }

  /** Refuses what Node can't read as a request, unless that would pass for another answer. */
  private unreadable(error: NodeJS.ErrnoException, socket: Duplex): void {
    const res = this.responses.get(socket);
    const isBetween = !res || (res.writableFinished && res.req.complete);
    const isReading = !res?.headersSent && !res?.req.complete && !this.pipelined.has(socket);
    if (isBetween || isReading) refuseConnection(socket, error.code ?? '', this.options.timer);
    else socket.destroy();
  }

  /** Ends connections that no request has come on; the time for one is over. */
  private dropSilent(): void {
    this.responses.forEach((res, socket) => {
      if (!res || res.writableFinished) socket.destroy();
    });
  }

  private endWaits(): void {
    [...this.waits].forEach((end) => end());
    this.responses.forEach((res, socket) => {
      if (!res?.req.complete) socket.destroy();
    });
  }
}

/** A server with the limits; with credentials it follows their changes. */
function createServer(tls: TlsCredentials | undefined, limits: http.ServerOptions) {
  if (!tls) return http.createServer(limits);
  const { cert, key } = tls.current;
  const server = https.createServer({ ...limits, cert, key });
  tls.subscribe((changed) => server.setSecureContext({ cert: changed.cert, key: changed.key }));
  return server;
}

/** How often Node looks for requests that take too long. */
const CHECK_INTERVAL_MS = 500;

/** Longer than balancers keep an idle connection, so that the balancer is the one to close it. */
const KEEP_ALIVE_MS = 75_000;

/** Middle of the time after which a caller refused for want of a configuration may come back. */
const RETRY_AFTER_MS = 2000;

/** Makes a request's path a whole URL; only the path and the query are read. */
const BASE_URL = 'http://entry';

const BEHIND = 'the configuration that the caller has met before is not in force here yet';

const CUT_SHORT = create(AnswerSchema, {
  outcome: Outcome.UNKNOWN,
  reason: 'this entry leaves before the answer is there; it may have run',
  retryAfterMs: RETRY_AFTER_MS,
});

const FAULT = create(AnswerSchema, {
  outcome: Outcome.UNKNOWN,
  reason: 'an internal error of the entry; it may have run',
  retryAfterMs: RETRY_AFTER_MS,
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

/** What has an id may have been run for an earlier submission; only what has none is known not to have run. */
function unprepared({ method, headers }: http.IncomingMessage, reason: string): RequestError {
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

function namesIn(route: Route, path: string): Result<string[], RequestError> {
  const encoded = route.path.exec(path)!.slice(1);
  try {
    return ok(encoded.map(decodeURIComponent));
  } catch {
    return err({ status: 400, reason: 'path: not a well-formed URL path' });
  }
}
